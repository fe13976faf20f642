/** Splits an address of the form host:port. */
export function splitAddress(address: string): {host: string; port: number} {
  const colonAt = address.lastIndexOf(':');
  return {
    host: address.slice(0, colonAt),
    port: Number(address.slice(colonAt + 1)),
  };
}
