package e2e_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/standin/faultproxy"
	"github.com/sprucecrank/sprucecrank/internal/standin/targetsim"
)

// A request that was given up while the way to its target was cut ran once the cut had healed.
var _ = DescribeTable("a request that is given up behind a cut does not run after it",
	func(abandon func(p *proc, leave context.CancelFunc)) {
		const id = "abandoned"
		f := newFleet()
		f.addTargets(1, targetsim.Options{Slots: 3, Work: time.Millisecond, Probe: time.Millisecond})
		way, err := faultproxy.New(f.targets[0].address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(way.Close)
		f.targets[0].address = way.Address()
		f.startBoxes(1)
		f.submit("shop", `[{"name":"order","mode":"single","deadline_ms":3000,"usual_ms":5}]`, `"order"`)
		p := f.boxes[0]
		order := func(ctx context.Context, id string) answer {
			return ask(ctx, client(), http.MethodPost, "http://"+p.settings.Listen+"/shop/a", map[string]string{"X-Mark": id}, "an order")
		}
		Expect(order(context.Background(), "served").status).To(Equal(http.StatusOK))
		way.Set(faultproxy.Fault{HoldRequests: true})
		ctx, leave := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = order(ctx, id)
		}()
		Eventually(way.Held).Should(BeNumerically(">", 0), "it is on its way")
		abandon(p, leave)
		leave()
		Eventually(ended).Should(BeClosed())
		way.Set(faultproxy.Fault{})
		Eventually(way.Held).Should(BeZero())
		Consistently(func() int { return f.runs(id) }).Should(BeZero())
	},
	Entry("its client left", func(p *proc, leave context.CancelFunc) {
		leave()
		Eventually(p.logText).Should(ContainSubstring("client-gone"), "the box has given it up")
	}),
	Entry("its box was killed", func(p *proc, _ context.CancelFunc) {
		p.kill()
		Eventually(p.exited).Should(BeClosed())
	}),
)
