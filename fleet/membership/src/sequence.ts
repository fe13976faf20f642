import {MAX_SEQ} from '@carobseam/fleet.types';

/** Generates sequence numbers from 1 to `MAX_SEQ` that wrap around. */
export class Sequence {
  #last: number;

  /** @param start differs between runs so that a restart repeats no numbers. */
  constructor(start: number) {
    this.#last = start % MAX_SEQ;
  }

  next(): number {
    this.#last = (this.#last % MAX_SEQ) + 1;
    return this.#last;
  }
}
