package machine

import (
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
)

// fetch is an image fetch in progress.
type fetch struct {
	image  string
	leftMB float64
	sizeMB int64
}

// nextFetchDone returns the time until the first of the fetches completes.
func (w *Worker) nextFetchDone() units.Microseconds {
	leastMB := -1.0
	for _, f := range w.fetches {
		if leastMB < 0 || f.leftMB < leastMB {
			leastMB = f.leftMB
		}
	}
	return units.Seconds(leastMB*float64(len(w.fetches))/float64(max(w.config.FetchMBs, 1))) + 1
}

// advanceFetches advances the fetches up to now. They share the machine's fetch rate equally.
func (w *Worker) advanceFetches() {
	for len(w.fetches) > 0 && w.fetchedUntil < w.now {
		step := min(w.nextFetchDone(), w.now-w.fetchedUntil)
		part := step.Seconds() * float64(w.config.FetchMBs) / float64(len(w.fetches))
		w.fetchedUntil += step
		var completed []string
		for image, f := range w.fetches {
			if f.leftMB -= part; f.leftMB <= 0 {
				completed = append(completed, image)
			}
		}
		slices.Sort(completed)
		for _, image := range completed {
			f := w.fetches[image]
			delete(w.fetches, image)
			w.touchImage(image, f.sizeMB)
			for _, id := range w.taskIDs() {
				if t := w.tasks[id]; t.state == fleet.Fetching && t.job.Spec.Image == image {
					w.startRunning(t)
				}
			}
		}
	}
	w.fetchedUntil = max(w.fetchedUntil, w.now)
}

// cancelUnusedFetches cancels the fetches that no task waits for any more.
func (w *Worker) cancelUnusedFetches() {
	for image := range w.fetches {
		if !w.imageInUse(image) {
			delete(w.fetches, image)
		}
	}
}

// touchImage marks an image as the most recently used. While the cache exceeds its size, it evicts the
// least recently used images that no task uses.
func (w *Worker) touchImage(image string, size int64) {
	if i := slices.Index(w.imagesByUse, image); i >= 0 {
		w.imagesByUse = slices.Delete(w.imagesByUse, i, i+1)
	}
	w.imagesByUse = append(w.imagesByUse, image)
	w.imageSizes[image] = size
	var sum int64
	for _, s := range w.imageSizes {
		sum += s
	}
	for i := 0; i < len(w.imagesByUse)-1 && sum > w.config.CacheMB; {
		if w.imageInUse(w.imagesByUse[i]) {
			i++
			continue
		}
		sum -= w.imageSizes[w.imagesByUse[i]]
		delete(w.imageSizes, w.imagesByUse[i])
		w.imagesByUse = slices.Delete(w.imagesByUse, i, i+1)
	}
}

// imageInUse reports whether a task on the machine uses an image.
func (w *Worker) imageInUse(image string) bool {
	for _, t := range w.tasks {
		if t.state != fleet.Exited && t.job.Spec.Image == image {
			return true
		}
	}
	return false
}
