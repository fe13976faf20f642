declare const brandSymbol: unique symbol;

/** A branded type: the compiler does not accept a plain `T` or another brand. */
export type Brand<T, Name extends string> = T & {
  readonly [brandSymbol]: Name;
};
