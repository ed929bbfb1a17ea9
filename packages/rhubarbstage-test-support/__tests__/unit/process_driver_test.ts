import { readFile, stat, writeFile } from "node:fs/promises";
import { join } from "node:path";
import {
  deleteDataFolder,
  flipBit,
  freePorts,
  ProcessDriver,
  truncateTail,
} from "../../src/mod.ts";

describe("ProcessDriver", () => {
  // Guards against signals without effect and leftover processes or folders.
  test("starts, pauses and kills processes and cleans up", async () => {
    const driver = new ProcessDriver();
    const service = driver.start("fake_service", { arguments: ["{}"] });
    const { url } = await service.ready<{ url: string }>();
    const read = (timeout: number) =>
      fetch(`${url}/test/records`, { signal: AbortSignal.timeout(timeout) });
    expect((await read(2_000)).status).toBe(200);
    service.pause();
    await expect(read(150)).rejects.toThrow();
    service.resume();
    expect((await read(2_000)).status).toBe(200);
    await service.kill();
    expect(service.running).toBe(false);
    const second = driver.start("fake_service", { arguments: ["{}"] });
    await second.ready();
    expect(await second.terminate()).toBe(0);
    const third = driver.start("fake_service", { arguments: ["{}"] });
    third.pause();
    await driver.stop();
    expect(third.running).toBe(false);
    expect(driver.eventLog).toContain("fake_service: SIGSTOP");
    await expect(stat(driver.folder)).rejects.toThrow();
  });

  // Guards against damage functions that leave the file unchanged.
  test("truncates, corrupts and deletes files and finds distinct free ports", async () => {
    const driver = new ProcessDriver();
    const file = join(driver.folder, "log");
    await writeFile(file, "abcdef");
    await truncateTail(file, 2);
    await flipBit(file, -1);
    expect(await readFile(file, "utf8")).toBe("abce");
    await deleteDataFolder(file);
    await expect(stat(file)).rejects.toThrow();
    await driver.stop();
    expect(new Set(await freePorts(5)).size).toBe(5);
  });
});
