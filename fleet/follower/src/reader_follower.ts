import type {MeshState} from '@carobseam/config.mesh';
import type {Logger} from '@carobseam/core.logger';
import type {Clock} from '@carobseam/core.types';
import type {FetchFeed} from './feed_message.js';

const READERS = 2; // one may be cut off from the source without a sign
const MIN_PEERS = 5; // below it, readers save fewer calls than they delay changes
const POLL_WAIT_MS = 1500; // above the interval at which readers hear from the source
const FRESH_MS = 1500; // two contacts with the source and a batch; well below the bound for changes of 2.5 s
const SEARCH_INTERVAL_MS = 150; // a data centre of 20 relays is searched in 3 s
const FIRST_REST_MS = 300; // before a reader that did not answer is asked again
const MAX_REST_MS = 10_000; // of a peer that was no use again and again; two calls a second in a data centre of 20

/** Options of `ReaderLinks`. */
export interface ReaderFollowerOptions {
  clock: Clock;
  state: MeshState;
  logger: Logger;
  fetchFeed: FetchFeed;
  /** Whether this relay's link carries what the others need. */
  canBeReader: boolean;
  ownAddress: string;
  /** Control addresses of the other relays of the data centre. */
  peerAddresses: () => readonly string[];
}

interface Rest {
  restMs: number;
  untilMs: number;
}

interface Link {
  address: string;
  run?: string;
  sequence?: number;
  freshUntilMs: number;
}

/**
 * Follows the relays of the data centre that read the source, so that a large
 * configuration crosses thin links as changes and the source gets few calls.
 * Of the relays with a wide link, those with the lowest addresses read.
 */
export class ReaderFollower {
  readonly #options: ReaderFollowerOptions;
  readonly #links = new Map<string, Link>();
  readonly #rests = new Map<string, Rest>();
  #hints: readonly string[] = [];
  #isClosed = false;
  #wasReader = false;

  constructor(options: ReaderFollowerOptions) {
    this.#options = options;
  }

  /** Whether the readers make calls to the source needless. */
  get isFresh(): boolean {
    return this.freshForMs > 0;
  }

  /** How long that holds without another word of theirs, in ms. */
  get freshForMs(): number {
    const nowMs = this.#options.clock.monotonicMs();
    const leftMs = [...this.#links.values()]
      .map(link => link.freshUntilMs - nowMs)
      .sort((a, b) => b - a);
    const wanted = this.#options.canBeReader ? READERS : 1;
    return Math.max(0, leftMs[wanted - 1] ?? 0);
  }

  get isReader(): boolean {
    return (
      this.#options.canBeReader &&
      !this.isFresh &&
      this.#options.state.config !== undefined
    );
  }

  get readers(): readonly string[] {
    return this.#freshLinks().map(link => link.address);
  }

  /** Looks for readers until `close`. */
  start(): void {
    this.#search();
  }

  close(): void {
    this.#isClosed = true;
  }

  #search(): void {
    if (this.#isClosed) {
      return;
    }
    this.#noteRole();
    if (this.#links.size < READERS) {
      const [peer] = this.#candidates();
      if (peer !== undefined) {
        void this.#follow(peer);
      }
    }
    this.#options.clock.setTimer(SEARCH_INTERVAL_MS, () => this.#search());
  }

  #noteRole(): void {
    const {logger, state} = this.#options;
    if (this.isReader !== this.#wasReader) {
      this.#wasReader = this.isReader;
      logger.info('reader_role', {
        isReader: this.isReader,
        readers: this.readers.join(),
        revision: state.revision,
      });
    }
  }

  /** Peers worth asking, the most likely readers first. */
  #candidates(): string[] {
    const {
      canBeReader: canRead,
      clock,
      ownAddress,
      peerAddresses,
      state,
    } = this.#options;
    const peers = peerAddresses();
    if (!state.config || peers.length < MIN_PEERS) {
      return [];
    }
    const nowMs = clock.monotonicMs();
    const known = new Set(peers);
    const ordered = [...this.#hints, ...[...peers].sort(compareAddresses)];
    return ordered.filter(
      address =>
        known.has(address) &&
        !this.#links.has(address) &&
        (this.#rests.get(address)?.untilMs ?? 0) <= nowMs &&
        // Of two wide relays the one with the lower address reads.
        !(canRead && compareAddresses(ownAddress, address) < 0),
    );
  }

  async #follow(address: string): Promise<void> {
    const {logger, state} = this.#options;
    const link: Link = {address, freshUntilMs: 0};
    this.#links.set(address, link);
    let cause = 'closed';
    try {
      while (!this.#isClosed && (await this.#poll(link))) {
        // The next poll waits for the next change.
      }
      cause = 'no reader';
    } catch (error) {
      // Another peer is found by the search.
      cause = error instanceof Error ? error.message : String(error);
    }
    this.#links.delete(address);
    this.#letRest(address, link.run !== undefined);
    if (link.run !== undefined) {
      logger.info('reader_lost', {
        peer: address,
        cause,
        revision: state.revision,
      });
    }
  }

  /** Asks a peer less and less often while it is no use. */
  #letRest(address: string, wasReader: boolean): void {
    const known = wasReader ? undefined : this.#rests.get(address);
    const restMs = known ? known.restMs * 2 : FIRST_REST_MS;
    this.#rests.set(address, {
      restMs: Math.min(MAX_REST_MS, restMs),
      untilMs: this.#options.clock.monotonicMs() + restMs,
    });
  }

  /** @return false when the peer is no reader or does not know the version here. */
  async #poll(link: Link): Promise<boolean> {
    const {clock, fetchFeed, logger, state} = this.#options;
    const answer = await fetchFeed(link.address, {
      run: link.run,
      sequence: link.sequence,
      version: state.config?.version ?? 0,
      revision: state.revision,
      acceptsWhole: false,
      waitMs: link.run === undefined ? 0 : POLL_WAIT_MS,
    });
    if (this.#isClosed || !answer.isReader || answer.lacksVersion) {
      this.#hints = answer.readers.length > 0 ? answer.readers : this.#hints;
      return false;
    }
    if (link.run === undefined) {
      logger.info('reader_followed', {
        peer: link.address,
        revision: answer.revision,
      });
    }
    const isFitting = state.applyUpdate(answer);
    link.run = answer.run;
    link.sequence = answer.sequence;
    if (isFitting) {
      link.freshUntilMs = clock.monotonicMs() + FRESH_MS - answer.contactAgeMs;
    }
    // Another reader may have brought a later version in the meantime.
    return isFitting || answer.configDelta?.from !== state.config?.version;
  }

  #freshLinks(): Link[] {
    const nowMs = this.#options.clock.monotonicMs();
    return [...this.#links.values()].filter(link => link.freshUntilMs > nowMs);
  }
}

/** Orders addresses alike on every relay. */
function compareAddresses(a: string, b: string): number {
  if (a.length !== b.length) {
    return a.length - b.length;
  }
  return a < b ? -1 : a > b ? 1 : 0;
}
