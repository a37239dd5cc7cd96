package host

import (
	"context"
	"time"

	"shalestage.example/shalestage/internal/client"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/user"
)

// UserObserver takes what users do and are told, for a checker.
type UserObserver func(e any)

// Users drives a crowd against a load balancer.
type Users struct {
	ctx    context.Context
	loop   *loop
	crowd  *user.Crowd
	client *client.Client
	told   UserObserver
}

// NewUsers returns users who talk to an address.
func NewUsers(ctx context.Context, c *user.Crowd, addr string, told UserObserver) *Users {
	u := &Users{ctx: ctx, crowd: c, client: client.New(addr), told: told}
	u.loop = newLoop(c, u.settle, func(error) {})
	return u
}

// Run drives the users until the context ends.
func (u *Users) Run() { u.loop.run(u.ctx) }

// Do runs a function on the model.
func (u *Users) Do(f func(now units.Microseconds, c *user.Crowd)) bool {
	return u.loop.do(u.ctx, func(now units.Microseconds) { f(now, u.crowd) })
}

func (u *Users) settle(now units.Microseconds) error {
	for _, e := range u.crowd.Drain() {
		if call, ok := e.(user.Call); ok {
			go u.call(call)
		} else {
			u.told(e)
		}
	}
	return nil
}

func (u *Users) call(e user.Call) {
	ctx, cancel := context.WithTimeout(u.ctx, time.Duration(e.Wait)*time.Microsecond)
	defer cancel()
	var r client.Reply
	var err error
	switch e.Kind {
	case user.Submit:
		r, err = u.client.Submit(ctx, e.ID, e.Spec)
	case user.Poll:
		r, err = u.client.Poll(ctx, e.ID)
	case user.Cancel:
		r, err = u.client.Cancel(ctx, e.ID)
	}
	if err != nil {
		r = client.Reply{}
	}
	u.loop.tell(u.ctx, func(now units.Microseconds) {
		u.crowd.Answer(now, e.Number, user.Answer{Code: r.Code, Status: r.Status, RetryAfter: r.RetryAfter})
	})
}
