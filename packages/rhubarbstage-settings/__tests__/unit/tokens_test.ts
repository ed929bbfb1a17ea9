import { findToken, hashKey, parseTokens } from "../../src/mod.ts";

describe("tokens", () => {
  // Guards against a comment or an empty line that becomes a valid token.
  test("reads names and skips comments and empty lines", () => {
    const tokens = parseTokens(
      "# old\n\nanna:0123456789abcdef\nfedcba9876543210\n",
    );
    expect(tokens).toEqual([
      { name: "anna", value: "0123456789abcdef" },
      { name: "", value: "fedcba9876543210" },
    ]);
    expect(findToken(tokens, "0123456789abcdef")?.name).toBe("anna");
    expect(findToken(tokens, "")).toBeUndefined();
    expect(findToken(tokens, "# old")).toBeUndefined();
  });

  // Guards against a hash that differs from what `sha256sum` prints.
  test("hashes keys as SHA-256 in hexadecimal", () => {
    expect(hashKey("abc")).toBe(
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
    );
  });
});
