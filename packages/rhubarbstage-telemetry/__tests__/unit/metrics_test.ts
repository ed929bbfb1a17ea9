import type { CustomerId, Revision, ServiceName } from "rhubarbstage";
import { Metrics } from "../../src/mod.ts";

const chat = "chat" as ServiceName;

describe("Metrics", () => {
  // Guards against a rename that breaks dashboards.
  test("renders the documented metrics", async () => {
    const metrics = new Metrics();
    metrics.countRequest({ service: chat, error: "overloaded", duration: 5 });
    metrics.countRefusal(chat, "overloaded");
    metrics.countRetry(chat);
    metrics.observeFirstToken(chat, 100);
    metrics.observeBetweenTokens(chat, 20);
    metrics.setRequestCounts(new Map([[chat, { queued: 3, running: 2 }]]));
    metrics.setConfiguration(7 as Revision, 1_500);
    metrics.updateControlTraffic({
      sentBytes: 4,
      receivedBytes: 1,
      busyTime: 150,
    });
    metrics.updateControlTraffic({
      sentBytes: 10,
      receivedBytes: 2,
      busyTime: 250,
    });
    const text = await metrics.render();
    for (
      const line of [
        'rhubarbstage_requests_total{service="chat",result="overloaded"} 1',
        'rhubarbstage_errors_total{kind="overloaded"} 1',
        'rhubarbstage_refusals_total{service="chat",kind="overloaded"} 1',
        'rhubarbstage_retries_total{service="chat"} 1',
        'rhubarbstage_first_token_seconds_bucket{le="0.1",service="chat"} 1',
        'rhubarbstage_between_tokens_seconds_count{service="chat"} 1',
        'rhubarbstage_queue_depth{service="chat"} 3',
        'rhubarbstage_running_requests{service="chat"} 2',
        "rhubarbstage_revision 7",
        "rhubarbstage_confirmation_age_seconds 1.5",
        'rhubarbstage_control_bytes_total{direction="sent"} 10',
        "rhubarbstage_control_cpu_seconds_total 0.25",
      ]
    ) {
      expect(text).toContain(`${line}\n`);
    }
  });

  // Guards against a time series for each of 1,700 customers or any name from
  // callers.
  test("bounds the number of values of each label", async () => {
    const metrics = new Metrics();
    for (let index = 0; index < 1_700; index += 1) {
      metrics.countRequest({
        service: `s${index}` as ServiceName,
        customer: `c${index % 850}` as CustomerId,
        duration: 1,
      });
    }
    const text = await metrics.render();
    const count = (pattern: RegExp) => text.match(pattern)?.length ?? 0;
    expect(count(/^rhubarbstage_top_customer_requests\{/gm)).toBe(20);
    expect(count(/^rhubarbstage_requests_total\{/gm)).toBe(101);
    expect(text).toContain(
      'rhubarbstage_requests_total{service="other",result="ok"} 1600\n',
    );
  });
});
