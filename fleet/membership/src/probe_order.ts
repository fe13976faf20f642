import type {RandomSource} from '@carobseam/core.types';

/** Round-robin order that is shuffled anew in each round. */
export class ProbeOrder<Item> {
  readonly #random: RandomSource;
  #round: Item[] = [];

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Returns the next item of the round that is still a candidate. */
  next(candidates: ReadonlySet<Item>): Item | undefined {
    if (candidates.size === 0) {
      return undefined;
    }
    for (;;) {
      if (this.#round.length === 0) {
        this.#round = shuffle([...candidates], this.#random);
      }
      const item = this.#round.pop()!;
      if (candidates.has(item)) {
        return item;
      }
    }
  }
}

/** Returns a copy of the items in random order. */
export function shuffle<Item>(
  items: readonly Item[],
  random: RandomSource,
): Item[] {
  const result = [...items];
  for (let index = result.length - 1; index > 0; index--) {
    const otherIndex = random.nextInt(index + 1);
    [result[index], result[otherIndex]] = [result[otherIndex]!, result[index]!];
  }
  return result;
}
