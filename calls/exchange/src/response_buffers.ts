const MAX_RESPONSE_BYTES = 256 * 1024; // eight times the size of the largest usual body; larger ones are streamed
const DEFAULT_MAX_BYTES = 32 * 1024 * 1024; // a sixth of the memory of the smallest VM

/**
 * Memory for the bodies of responses that are received whole before they are
 * delivered. A body that is too large, or for which no memory is left, is
 * streamed instead.
 */
export class ResponseBuffers {
  readonly #maxBytes: number;
  #usedBytes = 0;

  /** @param maxBytes limit for all bodies together. */
  constructor(maxBytes = DEFAULT_MAX_BYTES) {
    this.#maxBytes = maxBytes;
  }

  /** Bytes of bodies that are being received. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /**
   * Takes memory for a part of a body.
   *
   * @param heldBytes bytes of the body before this part.
   * @return whether the body may be kept; if not, it must be streamed.
   */
  take(bytes: number, heldBytes: number): boolean {
    this.#usedBytes += bytes;
    return (
      heldBytes + bytes <= MAX_RESPONSE_BYTES &&
      this.#usedBytes <= this.#maxBytes
    );
  }

  /** Gives back the memory of a body that was delivered or has failed. */
  release(bytes: number): void {
    this.#usedBytes -= bytes;
  }
}
