import type {RelaySettings} from '@carobseam/platform.adapter';

const WIDE_LINK_MBPS = 20; // a large configuration reaches 20 relays within a second

/** Whether a relay's link can carry the store's changes for its data centre. */
export function hasHighBandwidthLink(settings: RelaySettings): boolean {
  return settings.linkMbps >= WIDE_LINK_MBPS;
}
