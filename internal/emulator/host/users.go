package host

import (
	"context"
	"time"

	"shalestage.example/shalestage/internal/client"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/user"
)

// UserObserver is called with the events of users other than user.Call, such as replies, for a checker.
type UserObserver func(e any)

// Users runs emulated users, who send their requests to a load balancer.
type Users struct {
	ctx     context.Context
	loop    *loop
	crowd   *user.Users
	client  *client.Client
	observe UserObserver
}

// NewUsers returns users who send their requests to an address.
func NewUsers(ctx context.Context, c *user.Users, addr string, observe UserObserver) *Users {
	u := &Users{ctx: ctx, crowd: c, client: client.New(addr), observe: observe}
	u.loop = newLoop(c, u.flush, func(error) {})
	return u
}

// Run drives the model until the context ends.
func (u *Users) Run() { u.loop.run(u.ctx) }

// Do runs f on the model and waits until its effects are processed. It returns false if the context ended first.
func (u *Users) Do(f func(now units.Microseconds, c *user.Users)) bool {
	return u.loop.do(u.ctx, func(now units.Microseconds) { f(now, u.crowd) })
}

func (u *Users) flush(now units.Microseconds) error {
	for _, e := range u.crowd.Drain() {
		if call, ok := e.(user.Call); ok {
			go u.call(call)
		} else {
			u.observe(e)
		}
	}
	return nil
}

func (u *Users) call(request user.Call) {
	ctx, cancel := context.WithTimeout(u.ctx, time.Duration(request.Timeout)*time.Microsecond)
	defer cancel()
	var r client.Reply
	var err error
	switch request.Kind {
	case user.Submit:
		r, err = u.client.Submit(ctx, request.ID, request.Spec)
	case user.Poll:
		r, err = u.client.Poll(ctx, request.ID)
	case user.Cancel:
		r, err = u.client.Cancel(ctx, request.ID)
	}
	if err != nil {
		r = client.Reply{}
	}
	u.loop.enqueue(u.ctx, func(now units.Microseconds) {
		u.crowd.HandleReply(now, request.Number, user.Reply{Code: r.Code, Status: r.Status, RetryAfter: r.RetryAfter})
	})
}
