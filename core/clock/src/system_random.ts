import type {RandomSource} from '@carobseam/core.types';

/** Random numbers of the JavaScript runtime, which are not reproducible. */
export class SystemRandom implements RandomSource {
  nextFloat(): number {
    return Math.random();
  }

  nextInt(bound: number): number {
    return Math.floor(Math.random() * bound);
  }
}
