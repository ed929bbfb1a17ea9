/**
 * Self-signed X.509 version 1 certificates for tests, encoded in DER.
 *
 * @module
 */

import { generateKeyPairSync, sign } from "node:crypto";

const sequenceTag = 0x30;
const setTag = 0x31;
const integerTag = 0x02;
const bitStringTag = 0x03;
const utf8StringTag = 0x0c;
const utcTimeTag = 0x17;

/** Object identifiers of ecdsa-with-SHA256 and of the common name, in DER. */
const ecdsaWithSha256 = Buffer.from("06082a8648ce3d040302", "hex");
const commonName = Buffer.from("0603550403", "hex");

function encode(tag: number, ...contents: Buffer[]): Buffer {
  const content = Buffer.concat(contents);
  const length = content.length < 0x80
    ? [content.length]
    : [0x82, content.length >> 8, content.length & 0xff];
  return Buffer.concat([Buffer.from([tag, ...length]), content]);
}

/** Certificate and key in PEM form. */
export interface SelfSignedCertificate {
  readonly cert: string;
  readonly key: string;
}

/** Creates a certificate for a common name, valid from 2020 to 2049. */
export function selfSignedCertificate(name: string): SelfSignedCertificate {
  const { publicKey, privateKey } = generateKeyPairSync("ec", {
    namedCurve: "P-256",
  });
  const algorithm = encode(sequenceTag, ecdsaWithSha256);
  const text = encode(utf8StringTag, Buffer.from(name));
  const attribute = encode(sequenceTag, commonName, text);
  const subject = encode(sequenceTag, encode(setTag, attribute));
  const validity = encode(
    sequenceTag,
    encode(utcTimeTag, Buffer.from("200101000000Z")),
    encode(utcTimeTag, Buffer.from("491231235959Z")),
  );
  const content = encode(
    sequenceTag,
    encode(integerTag, Buffer.from([1])),
    algorithm,
    subject,
    validity,
    subject,
    publicKey.export({ type: "spki", format: "der" }),
  );
  const signature = sign("sha256", content, privateKey);
  const noUnusedBits = Buffer.from([0]);
  const certificate = encode(
    sequenceTag,
    content,
    algorithm,
    encode(bitStringTag, noUnusedBits, signature),
  );
  const body = certificate.toString("base64").replace(/.{64}/g, "$&\n");
  return {
    cert: `-----BEGIN CERTIFICATE-----\n${body}\n-----END CERTIFICATE-----\n`,
    key: String(privateKey.export({ type: "pkcs8", format: "pem" })),
  };
}
