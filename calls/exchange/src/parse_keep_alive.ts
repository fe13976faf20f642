/** Returns the timeout in the value of a `Keep-Alive` header, in ms. */
export function parseKeepAlive(value: string | undefined): number | undefined {
  const match = value && /timeout=(\d+)/.exec(value);
  return match ? Number(match[1]) * 1000 : undefined;
}
