/**
 * Parses YAML and finds the line of each key.
 *
 * @module
 */

import {
  type Document,
  isMap,
  isNode,
  isScalar,
  isSeq,
  LineCounter,
  type Node,
  parseDocument,
  stringify,
} from "yaml";
import { SettingsError } from "./errors.ts";
import type { SettingsOrigin } from "./validation.ts";

/** Parsed YAML and its origin. */
export interface ParsedYaml {
  readonly data: unknown;
  readonly source: SettingsOrigin;
}

/** Finds the value of a path segment and the node that marks its line. */
function findChild(
  node: unknown,
  segment: PropertyKey,
): { readonly positionNode: Node | null; readonly value: unknown } | undefined {
  if (isMap(node)) {
    const pair = node.items.find((item) =>
      String(isScalar(item.key) ? item.key.value : item.key) === String(segment)
    );
    if (pair === undefined) return undefined;
    return {
      positionNode: isNode(pair.key) ? pair.key : null,
      value: pair.value,
    };
  }
  if (!isSeq(node)) return undefined;
  const item = node.items[Number(segment)];
  return { positionNode: isNode(item) ? item : null, value: item };
}

function findOffset(
  document: Document,
  path: readonly PropertyKey[],
): number {
  let node: unknown = document.contents;
  let offset = document.contents?.range?.[0] ?? 0;
  for (const segment of path) {
    const found = findChild(node, segment);
    if (found === undefined) return offset;
    offset = found.positionNode?.range?.[0] ?? offset;
    node = found.value;
  }
  return offset;
}

/** Converts to plain data; the library limits how far aliases expand. */
function toPlainData(document: Document, file: { file?: string }): unknown {
  try {
    return document.toJS();
  } catch (error) {
    const allowed = `YAML 1.2 (${(error as Error).message})`;
    throw new SettingsError([{ ...file, path: "", value: "ALIAS", allowed }]);
  }
}

/** Parses YAML 1.2. Throws {@linkcode SettingsError} for broken syntax. */
export function parseYaml(
  content: string,
  options: { file?: string } = {},
): ParsedYaml {
  const lineCounter = new LineCounter();
  const document = parseDocument(content, { lineCounter });
  const file = options.file === undefined ? {} : { file: options.file };
  if (document.errors.length > 0) {
    throw new SettingsError(document.errors.map((error) => ({
      ...file,
      line: lineCounter.linePos(error.pos[0]).line,
      path: "",
      value: error.code,
      allowed: `YAML 1.2 (${error.message.split("\n")[0] ?? "syntax error"})`,
    })));
  }
  const lineOf = (path: readonly PropertyKey[]) =>
    lineCounter.linePos(findOffset(document, path)).line;
  return { data: toPlainData(document, file), source: { ...file, lineOf } };
}

/** Parses one value in YAML, for example `5` or `[a, b]`. */
export function parseYamlValue(content: string): unknown {
  return parseYaml(content).data;
}

/** Formats a tree or a part of it as YAML with sorted keys. */
export function formatYaml(value: unknown): string {
  return stringify(value, { sortMapEntries: true, lineWidth: 0 });
}
