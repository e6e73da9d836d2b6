package disk_test

import (
	"fmt"
	"os"
	"time"

	"dogwoodrock.example/dogwoodrock/disk"
	"dogwoodrock.example/dogwoodrock/quorum"
)

func ExampleStore() {
	folder, _ := os.MkdirTemp("", "disk")
	defer func() { _ = os.RemoveAll(folder) }()
	cfg := quorum.Config{Members: []quorum.Member{{Name: "changwon-1"}}, Durable: true}
	now := time.Unix(0, 0)
	for range 2 { // the second run restores the state that the first one saved
		store, _ := disk.Open(folder)
		r := quorum.New(cfg, quorum.WithState(store.Saved()))
		for !r.Status(now).Leading {
			now = now.Add(time.Second)
			r.Tick(now)
		}
		_, _ = r.Propose([]byte("lists"), now)
		out := r.Drain()
		if err := store.Save(*out.Persist); err != nil {
			fmt.Println(err)
		}
		for _, e := range out.Committed {
			fmt.Println(e.Op, string(e.Command))
		}
		_ = store.Close()
	}
	// Output:
	// 1 lists
	// 1 lists
	// 2 lists
}
