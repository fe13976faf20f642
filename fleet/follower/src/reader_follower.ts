import type {MeshState} from '@carobseam/config.mesh';
import {MAX_PAUSE_MS} from '@carobseam/core.http_get';
import type {Logger} from '@carobseam/core.logger';
import type {Clock, RandomSource} from '@carobseam/core.types';
import type {FetchFeed} from './feed_message.js';

const READER_COUNT = 2; // one may lose contact with the source without noticing
const MIN_PEERS = 5; // with fewer, readers save too few calls to justify the delay that they add to changes
const POLL_WAIT_MS = 1500; // longer than the interval at which the source responds to readers
const FRESH_MS = 1500; // covers two contacts with the source and a batch delay; well below the limit of 2.5 s for a change
const SEARCH_INTERVAL_MS = 150; // all relays of a data centre of 20 are tried in 3 s
const REMOTE_SEARCH_MS = 200; // of freshness left; readers in good health renew it before
const FIRST_BACKOFF_MS = 300; // before a reader that did not respond is polled again
const MAX_BACKOFF_MS = 10_000; // for peers that are not readers; at most two such polls a second in a data centre of 20

/** Options of `ReaderFollower`. */
export interface ReaderFollowerOptions {
  clock: Clock;
  state: MeshState;
  logger: Logger;
  fetchFeed: FetchFeed;
  /** Whether this relay's link has the bandwidth to serve the others as a reader. */
  canBeReader: boolean;
  ownAddress: string;
  /** Control addresses of the other relays of the data centre. */
  peerAddresses: () => readonly string[];
  /** Control addresses of the relays of other data centres. */
  remotePeerAddresses: () => readonly string[];
  random: RandomSource;
}

interface Backoff {
  delayMs: number;
  untilMs: number;
}

interface FollowedPeer {
  address: string;
  /** Whether the peer is in another data centre. */
  isRemote: boolean;
  run?: string;
  sequence?: number;
  freshUntilMs: number;
}

/**
 * Follows the readers, that is the relays of the data centre that read the
 * source. A change of a large configuration then crosses low-bandwidth links
 * as a delta, and the source receives few calls. Among the relays with a
 * high-bandwidth link, those with the lowest addresses become readers. A relay
 * with a low-bandwidth link follows a reader of another data centre while its
 * own has none.
 */
export class ReaderFollower {
  readonly #options: ReaderFollowerOptions;
  readonly #followed = new Map<string, FollowedPeer>();
  readonly #backoffs = new Map<string, Backoff>();
  /** Readers that the last unusable peer itself follows; tried first. */
  #suggestedReaders: readonly string[] = [];
  #isClosed = false;
  #wasReader = false;

  constructor(options: ReaderFollowerOptions) {
    this.#options = options;
  }

  /** Whether enough readers are fresh, so that this relay need not call the source. */
  get isFresh(): boolean {
    return this.freshForMs > 0;
  }

  /**
   * How long `isFresh` stays true if no further response of a reader arrives,
   * in ms.
   */
  get freshForMs(): number {
    const nowMs = this.#options.clock.monotonicMs();
    const remainingMs = [...this.#followed.values()]
      .map(peer => peer.freshUntilMs - nowMs)
      .sort((a, b) => b - a);
    const requiredCount = this.#options.canBeReader ? READER_COUNT : 1;
    return Math.max(0, remainingMs[requiredCount - 1] ?? 0);
  }

  /** Whether this relay serves its peers as a reader. */
  get isReader(): boolean {
    return (
      this.#options.canBeReader &&
      !this.isFresh &&
      this.#options.state.config !== undefined
    );
  }

  /** Control addresses of the readers whose state is fresh. */
  get readers(): readonly string[] {
    return this.#freshReaders().map(peer => peer.address);
  }

  /** Searches for readers and follows them until `close`. */
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
    this.#logRoleChange();
    this.#followOneMore(false);
    if (!this.#options.canBeReader && this.freshForMs < REMOTE_SEARCH_MS) {
      this.#followOneMore(true);
    }
    this.#options.clock.setTimer(SEARCH_INTERVAL_MS, () => this.#search());
  }

  /** Follows one more peer of the own or of other data centres if there are too few. */
  #followOneMore(isRemote: boolean): void {
    const followed = [...this.#followed.values()].filter(
      peer => peer.isRemote === isRemote,
    );
    if (followed.length >= READER_COUNT) {
      return;
    }
    const candidate = isRemote
      ? this.#chooseRemoteCandidate()
      : this.#listCandidates()[0];
    if (candidate !== undefined) {
      void this.#follow(candidate, isRemote);
    }
  }

  #logRoleChange(): void {
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

  /** Addresses of peers that may be readers, the most likely ones first. */
  #listCandidates(): string[] {
    const {canBeReader, ownAddress, peerAddresses, state} = this.#options;
    const peers = peerAddresses();
    if (!state.config || (canBeReader && peers.length < MIN_PEERS)) {
      return [];
    }
    return this.#selectUsable(peers, [...peers].sort(compareAddresses)).filter(
      // Of two relays that can be readers, the one with the lower address is followed.
      address => !canBeReader || compareAddresses(ownAddress, address) > 0,
    );
  }

  /** Returns a relay of another data centre that may be a reader or know one. */
  #chooseRemoteCandidate(): string | undefined {
    const {random, remotePeerAddresses, state} = this.#options;
    const peers = remotePeerAddresses();
    if (!state.config || peers.length === 0) {
      return undefined;
    }
    // Followers of all data centres spread over the others by chance.
    const start = random.nextInt(peers.length);
    const rotated = [...peers.slice(start), ...peers.slice(0, start)];
    return this.#selectUsable(peers, rotated)[0];
  }

  /** Puts suggested readers first and leaves out peers that cannot be polled now. */
  #selectUsable(
    peers: readonly string[],
    ordered: readonly string[],
  ): string[] {
    const nowMs = this.#options.clock.monotonicMs();
    const currentPeers = new Set(peers);
    return [...this.#suggestedReaders, ...ordered].filter(
      address =>
        currentPeers.has(address) &&
        !this.#followed.has(address) &&
        (this.#backoffs.get(address)?.untilMs ?? 0) <= nowMs,
    );
  }

  async #follow(address: string, isRemote: boolean): Promise<void> {
    const {logger, state} = this.#options;
    const peer: FollowedPeer = {address, isRemote, freshUntilMs: 0};
    this.#followed.set(address, peer);
    let cause: string;
    try {
      cause = await this.#pollWhileUsable(peer);
    } catch (error) {
      // The search selects another peer.
      cause = error instanceof Error ? error.message : String(error);
    }
    this.#followed.delete(address);
    this.#backOff(address, peer.run !== undefined);
    if (peer.run !== undefined) {
      logger.info('reader_lost', {
        peer: address,
        cause,
        revision: state.revision,
      });
    }
  }

  /**
   * Polls a peer again and again; each poll waits for the next change.
   *
   * @return why the peer is not followed any more.
   */
  async #pollWhileUsable(peer: FollowedPeer): Promise<string> {
    while (!this.#isClosed) {
      if (peer.isRemote && this.#hasLocalReader()) {
        return 'follows a reader of its own data centre';
      }
      if (!(await this.#poll(peer))) {
        return 'no reader';
      }
    }
    return 'closed';
  }

  /**
   * Delays the next poll of a peer. The delay doubles each time that the peer
   * turns out not to be a usable reader.
   */
  #backOff(address: string, wasReader: boolean): void {
    const previous = wasReader ? undefined : this.#backoffs.get(address);
    const delayMs = previous ? previous.delayMs * 2 : FIRST_BACKOFF_MS;
    this.#backoffs.set(address, {
      delayMs: Math.min(MAX_BACKOFF_MS, delayMs),
      untilMs: this.#options.clock.monotonicMs() + delayMs,
    });
  }

  /**
   * Polls a peer once and applies its changes.
   *
   * @return false when the peer can no longer be followed: it is not a reader,
   *     or it cannot send a delta from the version that this relay has.
   */
  async #poll(peer: FollowedPeer): Promise<boolean> {
    const {clock, fetchFeed, logger, state} = this.#options;
    const request = {
      run: peer.run,
      sequence: peer.sequence,
      version: state.config?.version ?? 0,
      revision: state.revision,
      acceptsWhole: false,
      waitMs: peer.run === undefined ? 0 : POLL_WAIT_MS,
    };
    const response = await fetchFeed(peer.address, request, () =>
      this.#extendDuringTransfer(peer),
    );
    if (this.#isClosed || !response.isReader || response.lacksVersion) {
      this.#suggestedReaders =
        response.readers.length > 0 ? response.readers : this.#suggestedReaders;
      return false;
    }
    if (peer.run === undefined) {
      logger.info('reader_followed', {
        peer: peer.address,
        revision: response.revision,
      });
    }
    const isApplied = state.applyUpdate(response);
    if (response.configDelta && isApplied) {
      logger.info('config_received', {
        peer: peer.address,
        version: response.configDelta.to,
        ageMs: response.configAgeMs,
        transferMs: response.transferMs,
      });
    }
    peer.run = response.run;
    peer.sequence = response.sequence;
    if (isApplied) {
      peer.freshUntilMs =
        clock.monotonicMs() + FRESH_MS - response.contactAgeMs;
    }
    // Another reader may have sent a later version during the poll; the next poll states that version.
    return isApplied || response.configDelta?.from !== state.config?.version;
  }

  /**
   * Keeps a reader fresh while its response arrives: a search for another one or
   * a read of the source would only delay it on the same link.
   */
  #extendDuringTransfer(peer: FollowedPeer): void {
    if (peer.run !== undefined) {
      peer.freshUntilMs = Math.max(
        peer.freshUntilMs,
        this.#options.clock.monotonicMs() + MAX_PAUSE_MS,
      );
    }
  }

  #hasLocalReader(): boolean {
    return this.#freshReaders().some(peer => !peer.isRemote);
  }

  #freshReaders(): FollowedPeer[] {
    const nowMs = this.#options.clock.monotonicMs();
    return [...this.#followed.values()].filter(
      peer => peer.freshUntilMs > nowMs,
    );
  }
}

/** Total order of addresses; the same on every relay. */
function compareAddresses(a: string, b: string): number {
  if (a.length !== b.length) {
    return a.length - b.length;
  }
  return a < b ? -1 : a > b ? 1 : 0;
}
