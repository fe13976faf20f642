import type {RelaySettings} from '@carobseam/platform.adapter';

const HIGH_BANDWIDTH_MBPS = 20; // enough to send a large configuration to 20 relays within one second

/**
 * Whether the bandwidth of a relay's VM suffices to read every change from the
 * store and to pass it on to the other relays of the data centre.
 */
export function hasHighBandwidthLink(settings: RelaySettings): boolean {
  return settings.linkMbps >= HIGH_BANDWIDTH_MBPS;
}
