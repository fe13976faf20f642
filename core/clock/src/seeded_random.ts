import type {RandomSource} from '@carobseam/core.types';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

const FLOAT_SCALE = 2 ** 32;

/** Reproducible random numbers from a 32-bit seed. */
export class SeededRandom implements RandomSource {
  #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed | 0);
  }

  nextFloat(): number {
    return (this.#generator.next() >>> 0) / FLOAT_SCALE;
  }

  nextInt(bound: number): number {
    return Math.floor(this.nextFloat() * bound);
  }
}
