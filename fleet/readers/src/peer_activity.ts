import type {Clock} from '@carobseam/core.types';

/** Remembers when a datagram or link message of a peer last arrived. */
export class PeerActivity {
  readonly #clock: Clock;
  #heardMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#heardMs = clock.monotonicMs();
  }

  recordMessage(): void {
    this.#heardMs = this.#clock.monotonicMs();
  }

  /** Time since a peer was heard, or since the start, ms. */
  sinceLastMessageMs(): number {
    return this.#clock.monotonicMs() - this.#heardMs;
  }
}
