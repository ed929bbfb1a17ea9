import { get } from "node:https";
import { selfSignedCertificate } from "@rhubarbstage/test-support";
import { Harness } from "../harness.ts";

describe("TLS", () => {
  // Guards against plain HTTP although a certificate is configured.
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
      get(url, options, (response) => {
        response.resume();
        resolve(response.statusCode);
      }).on("error", reject);
    });
    await expect(fetch(`http://${url.host}/healthz`)).rejects.toThrow();
    await harness.close();
    expect(url.protocol).toBe("https:");
    expect(status).toBe(200);
  });
});
