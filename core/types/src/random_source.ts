/** Source of random numbers; tests inject a seeded source. */
export interface RandomSource {
  /** A number in [0, 1). */
  nextFloat(): number;
  /** An integer in [0, bound). */
  nextInt(bound: number): number;
}
