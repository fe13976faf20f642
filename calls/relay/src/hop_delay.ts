import type {Clock} from '@carobseam/core.types';
import {randomBytes} from 'node:crypto';

const CLOCK_ID_BYTES = 4;
const MAX_SKEW_CHANGE_MS = 100; // of the wall clock against the monotonic one; more is a step or a suspension
const WINDOW_MS = 5000; // long enough to contain a moment without a queue, short against the drift of clocks

/**
 * Stamps the hops that this relay sends with its monotonic clock. A stamp names
 * the clock, so that a receiver notices when the stamps of a sender are no longer
 * comparable, after a restart, a suspension or a step of the clock.
 */
export class HopStamps {
  readonly #clock: Clock;
  #clockId = newClockId();
  #skewMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#skewMs = clock.wallMs() - clock.monotonicMs();
  }

  /** Returns the stamp of a request that is written now. */
  stamp(): string {
    const nowMs = this.#clock.monotonicMs();
    const skewMs = this.#clock.wallMs() - nowMs;
    if (Math.abs(skewMs - this.#skewMs) > MAX_SKEW_CHANGE_MS) {
      this.#skewMs = skewMs;
      this.#clockId = newClockId();
    }
    return `${this.#clockId};${nowMs.toFixed(1)}`;
  }
}

function newClockId(): string {
  return randomBytes(CLOCK_ID_BYTES).toString('hex');
}

interface PeerClock {
  clockId: string;
  /** Least difference of arrival and stamp in this window and in the last, in ms. */
  leastMs: number;
  previousLeastMs: number;
  windowEndMs: number;
}

/**
 * Measures how long a request from another relay waited until it was read. The
 * clocks of two relays are not comparable, but the least difference between
 * arrival and stamp over some seconds is that of a request that did not wait, as
 * in LEDBAT (RFC 6817); what lies above it is the wait.
 */
export class HopDelays {
  readonly #clock: Clock;
  readonly #peers = new Map<string, PeerClock>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Returns the wait of a request that is read now, in ms; 0 without a stamp, and
   * for the first stamp of a clock.
   */
  delayOf(vmAddress: string, stamp: string | undefined): number {
    const [clockId, text] = (stamp ?? '').split(';');
    const sentMs = Number(text);
    if (!clockId || !Number.isFinite(sentMs)) {
      return 0;
    }
    const nowMs = this.#clock.monotonicMs();
    const differenceMs = nowMs - sentMs;
    const peer = this.#peerOf(vmAddress, clockId, nowMs);
    peer.leastMs = Math.min(peer.leastMs, differenceMs);
    return differenceMs - Math.min(peer.leastMs, peer.previousLeastMs);
  }

  /** Forgets the VMs that are not in the given set. */
  retainOnly(vmAddresses: ReadonlySet<string>): void {
    for (const vmAddress of this.#peers.keys()) {
      if (!vmAddresses.has(vmAddress)) {
        this.#peers.delete(vmAddress);
      }
    }
  }

  #peerOf(vmAddress: string, clockId: string, nowMs: number): PeerClock {
    let peer = this.#peers.get(vmAddress);
    if (peer?.clockId !== clockId) {
      peer = {
        clockId,
        leastMs: Infinity,
        previousLeastMs: Infinity,
        windowEndMs: nowMs + WINDOW_MS,
      };
      this.#peers.set(vmAddress, peer);
    } else if (nowMs >= peer.windowEndMs) {
      // A window without a request leaves nothing to compare with.
      const isNext = nowMs < peer.windowEndMs + WINDOW_MS;
      peer.previousLeastMs = isNext ? peer.leastMs : Infinity;
      peer.leastMs = Infinity;
      peer.windowEndMs = nowMs + WINDOW_MS;
    }
    return peer;
  }
}
