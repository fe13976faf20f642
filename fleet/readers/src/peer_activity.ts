import type {Clock} from '@carobseam/core.types';

/** Records when this daemon last received a datagram or link message of any peer. */
export class PeerActivity {
  readonly #clock: Clock;
  #lastMessageMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#lastMessageMs = clock.monotonicMs();
  }

  recordMessage(): void {
    this.#lastMessageMs = this.#clock.monotonicMs();
  }

  /** Time since the last message of a peer, or since the start, ms. */
  sinceLastMessageMs(): number {
    return this.#clock.monotonicMs() - this.#lastMessageMs;
  }
}
