import { get } from "node:https";
import { selfSignedCertificate } from "@rhubarbstage/test-support";
import { Harness } from "../harness.ts";

describe("TLS", () => {
  // Guards against plain text where the settings name a certificate.
  test("serves over TLS with the given certificate", async () => {
    const tls = selfSignedCertificate("rhubarbstage.test");
    const harness = await Harness.start({ tls });
    const url = new URL("/healthz", harness.url);
    const status = await new Promise((resolve, reject) => {
      const options = {
        ca: tls.cert,
        servername: "rhubarbstage.test",
        agent: false as const,
      };
      get(url, options, (answer) => {
        answer.resume();
        resolve(answer.statusCode);
      }).on("error", reject);
    });
    await expect(fetch(`http://${url.host}/healthz`)).rejects.toThrow();
    await harness.close();
    expect(url.protocol).toBe("https:");
    expect(status).toBe(200);
  });
});
