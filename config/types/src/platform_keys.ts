import type {Digest} from '@carobseam/core.types';

/** Key of the manifest on the platform. */
export function manifestKey(prefix: string): string {
  return `${prefix}/manifest`;
}

/** Key of a pack on the platform. */
export function packKey(prefix: string, digest: Digest): string {
  return `${prefix}/packs/${digest}`;
}
