const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
]);

/**
 * Copies the end-to-end headers of a message.
 *
 * @param rawHeaders alternating names and values.
 * @param excluded further headers to leave out, in lower case.
 */
export function forwardedHeaders(
  rawHeaders: readonly string[],
  excluded: ReadonlySet<string>,
): string[] {
  const connectionOptions = parseConnectionOptions(rawHeaders);
  const forwarded: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    if (
      !HOP_BY_HOP_HEADERS.has(name) &&
      !excluded.has(name) &&
      !connectionOptions?.has(name)
    ) {
      forwarded.push(rawHeaders[index]!, rawHeaders[index + 1]!);
    }
  }
  return forwarded;
}

/** Returns the header names that the Connection header lists as hop-by-hop. */
function parseConnectionOptions(
  rawHeaders: readonly string[],
): Set<string> | undefined {
  let options: Set<string> | undefined;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === 'connection') {
      options ??= new Set();
      for (const option of rawHeaders[index + 1]!.split(',')) {
        options.add(option.trim().toLowerCase());
      }
    }
  }
  return options;
}
