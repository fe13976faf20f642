import type {MeshSource, MeshState} from '@carobseam/config.mesh';
import type {Logger} from '@carobseam/core.logger';
import type {Clock, RandomSource, Timer} from '@carobseam/core.types';
import type {FetchFeed} from './feed_message.js';

const WATCH_WAIT_MS = 2500; // an unresponsive connection is noticed within twice the limit for a drain
const READER_WAIT_MS = 600; // shorter for readers, so that their followers notice an unresponsive source within 1.2 s
const PEER_START_MS = 400; // a full read over a low-bandwidth link takes longer
const READER_SEARCH_MS = 500; // a few polls; a full read over a low-bandwidth link takes longer
const MIN_PAUSE_MS = 20; // the freshness of readers is checked no more often
const CATCH_UP_MS = 2000; // covers several changes of a burst; a watch then shows whether the burst is over
const BATCH_MS = 350; // changes within this time share one call; well below the limits of 2 s for a change
const FIRST_RETRY_MS = 60; // a few times the response time of the source
const MAX_RETRY_MS = 500; // two attempts within a limit of 2 s
const MIN_OUTAGE_MS = 700; // no entry can expire during a shorter outage
const PEER_INTERVAL_MS = 300; // several rounds within the limit for an unstable source
const PEERS_PER_ROUND = 2; // one of them may have lost the source too

/** Options of `SourceFollower`. */
export interface SourceFollowerOptions {
  clock: Clock;
  random: RandomSource;
  source: MeshSource;
  state: MeshState;
  logger: Logger;
  /** Control addresses of other relays, without this one. */
  peerAddresses: () => readonly string[];
  fetchFeed: FetchFeed;
  /** State of this relay's `ReaderFollower`. */
  readers: {
    /**
     * How long the state that readers sent stays fresh, so that no call to the
     * source is needed, in ms; 0 when it is not fresh.
     */
    readonly freshForMs: number;
    /** Whether this relay is a reader itself. */
    readonly isReader: boolean;
  };
  /** Whether receiving several versions of a large configuration takes too long. */
  hasLowBandwidthLink: boolean;
  /** Called after a response of the source has been applied to the state. */
  onContact?: () => void;
  /** Called after each call to the source, with its outcome. */
  onCall?: (outcome: 'ok' | 'failed') => void;
}

/**
 * Keeps the state up to date with the source by one full read and then
 * watches. Makes no calls while the readers of the data centre send the changes
 * (see `ReaderFollower`), and polls peers for their state while the source does
 * not respond.
 */
export class SourceFollower {
  readonly #options: SourceFollowerOptions;
  #isClosed = false;
  #needsFullRead = true;
  #wasFollowingReaders = false;
  /** Whether a reader may be found before the next call to the source. */
  #mayFindReader = false;
  #fullReadsUntilMs = -Infinity;
  /** Whether the source lacked the history at the last watch. */
  #isHistoryLost = false;
  /** Whether the source responded to the last call; false while readers are followed. */
  #hasSourceContact = false;
  #failureCount = 0;
  #failingSinceMs = 0;
  #peerRoundTimer?: Timer;
  #wakeUp?: () => void;

  constructor(options: SourceFollowerOptions) {
    this.#options = options;
  }

  /**
   * Whether the state is known to be the newest: readers send the changes, or
   * the last call of the source succeeded and the next one waits for them.
   */
  get isCurrent(): boolean {
    return this.#options.readers.freshForMs > 0 || this.#hasSourceContact;
  }

  /** Follows the source until `close`. */
  async run(): Promise<void> {
    await this.#startFromPeers();
    while (!this.#isClosed) {
      const {freshForMs} = this.#options.readers;
      if (this.#options.state.config && freshForMs > 0) {
        this.#endOutage();
        this.#needsFullRead = false;
        this.#wasFollowingReaders = true;
        this.#mayFindReader = true;
        this.#hasSourceContact = false;
        await this.#sleep(Math.max(MIN_PAUSE_MS, freshForMs));
        continue;
      }
      if (this.#mayFindReader) {
        this.#mayFindReader = false;
        if (await this.#findsReader()) {
          continue;
        }
      }
      if (this.#wasFollowingReaders) {
        this.#wasFollowingReaders = false;
        // A watch would send every version since then over the link, not just the newest one.
        this.#needsFullRead = true;
        this.#options.logger.info('readers_silent', {
          revision: this.#options.state.revision,
          outcome: 'reads the source',
        });
      }
      try {
        await this.#readOrWatch();
        this.#options.onCall?.('ok');
      } catch (error) {
        await this.#handleFailure(error);
      }
    }
  }

  /**
   * Gets the state of a peer, if this relay knows one at its start. It is a tenth
   * of what a full read sends over a low-bandwidth link; changes since then come
   * from the readers or from the source.
   */
  async #startFromPeers(): Promise<void> {
    const {hasLowBandwidthLink, state} = this.#options;
    const peers = hasLowBandwidthLink ? this.#choosePeers() : [];
    if (peers.length === 0) {
      return;
    }
    const isDone = Promise.any(
      peers.map(async peer => {
        await this.#pollPeer(peer);
        if (!state.config) {
          throw new Error(`no configuration from peer ${peer}`);
        }
      }),
    ).catch(() => {});
    await Promise.race([isDone, this.#sleep(PEER_START_MS)]);
    this.#mayFindReader = state.config !== undefined;
    this.#needsFullRead = !this.#mayFindReader;
  }

  close(): void {
    this.#isClosed = true;
    this.#peerRoundTimer?.cancel();
    this.#options.source.close();
    this.#wakeUp?.();
  }

  /**
   * Waits until a reader is followed. Relays with a low-bandwidth link would
   * otherwise receive every version in full after their start, and read the
   * source in full because of a short disruption of their readers.
   */
  async #findsReader(): Promise<boolean> {
    const {clock, hasLowBandwidthLink, readers} = this.#options;
    const endMs = clock.monotonicMs() + READER_SEARCH_MS;
    while (
      hasLowBandwidthLink &&
      !this.#isClosed &&
      readers.freshForMs === 0 &&
      clock.monotonicMs() < endMs
    ) {
      await this.#sleep(MIN_PAUSE_MS);
    }
    return readers.freshForMs > 0;
  }

  async #readOrWatch(): Promise<void> {
    const {source, state, logger, readers, clock} = this.#options;
    if (this.#needsFullRead) {
      const snapshot = await source.read();
      this.#endOutage();
      this.#mayFindReader = state.config === undefined;
      state.applySnapshot(snapshot);
      this.#recordContact();
      this.#needsFullRead = clock.monotonicMs() < this.#fullReadsUntilMs;
      if (this.#needsFullRead) {
        await this.#sleep(BATCH_MS);
      }
      return;
    }
    const waitMs = readers.isReader ? READER_WAIT_MS : WATCH_WAIT_MS;
    const changes = await source.watch(state.revision, waitMs);
    this.#endOutage();
    if (!changes) {
      const isRepeated = this.#isHistoryLost;
      this.#isHistoryLost = true;
      logger.warn('source_history_lost', {
        revision: state.revision,
        outcome: 'reads everything',
      });
      this.#needsFullRead = true;
      this.#hasSourceContact = false;
      if (isRepeated) {
        await this.#sleep(BATCH_MS);
      }
      return;
    }
    this.#isHistoryLost = false;
    state.applyChanges(changes);
    this.#recordContact();
    if (
      this.#options.hasLowBandwidthLink &&
      (changes.configVersionCount ?? 1) > 1
    ) {
      // A watch returns every version; in a burst of changes, only full reads keep up on this link.
      this.#fullReadsUntilMs = clock.monotonicMs() + CATCH_UP_MS;
      this.#needsFullRead = true;
    }
    if (changes.config || changes.workers.length > 0) {
      await this.#sleep(BATCH_MS);
    }
  }

  #recordContact(): void {
    this.#hasSourceContact = true;
    this.#options.onContact?.();
  }

  /** Ends an outage, if there is one: the source responds again, or the state from readers is fresh. */
  #endOutage(): void {
    if (this.#failureCount === 0) {
      return;
    }
    const outageMs = this.#options.clock.monotonicMs() - this.#failingSinceMs;
    this.#failureCount = 0;
    this.#peerRoundTimer?.cancel();
    this.#peerRoundTimer = undefined;
    if (outageMs >= MIN_OUTAGE_MS) {
      this.#options.state.startRemovalGracePeriod();
    }
    this.#options.logger.info('source_regained', {
      awayMs: Math.round(outageMs),
      revision: this.#options.state.revision,
    });
  }

  async #handleFailure(error: unknown): Promise<void> {
    if (this.#isClosed) {
      return;
    }
    this.#options.onCall?.('failed');
    this.#hasSourceContact = false;
    this.#failureCount++;
    if (this.#failureCount === 1) {
      this.#failingSinceMs = this.#options.clock.monotonicMs();
      this.#options.logger.warn('source_lost', {
        cause: error instanceof Error ? error.message : String(error),
        revision: this.#options.state.revision,
        outcome: 'asks peers',
      });
      this.#peerRoundTimer = this.#options.clock.setTimer(0, () =>
        this.#pollPeers(),
      );
    }
    const delayMs = Math.min(
      MAX_RETRY_MS,
      FIRST_RETRY_MS * 2 ** (this.#failureCount - 1),
    );
    await this.#sleep(delayMs * (0.5 + this.#options.random.nextFloat() / 2));
  }

  #pollPeers(): void {
    this.#choosePeers().forEach(peer => void this.#pollPeer(peer));
    this.#peerRoundTimer = this.#options.clock.setTimer(PEER_INTERVAL_MS, () =>
      this.#pollPeers(),
    );
  }

  /** Returns some peers at random, fewer than `PEERS_PER_ROUND` if there are not as many. */
  #choosePeers(): string[] {
    const {random, peerAddresses} = this.#options;
    const peers = [...peerAddresses()];
    const chosen: string[] = [];
    while (chosen.length < PEERS_PER_ROUND && peers.length > 0) {
      chosen.push(...peers.splice(random.nextInt(peers.length), 1));
    }
    return chosen;
  }

  async #pollPeer(address: string): Promise<void> {
    const {state, logger, fetchFeed} = this.#options;
    const {revision} = state;
    try {
      const response = await fetchFeed(address, {
        version: state.config?.version ?? 0,
        revision,
        acceptsWhole: true,
        waitMs: 0,
      });
      if (response.isWhole && response.revision > state.revision) {
        state.applyUpdate(response);
        logger.info('state_from_peer', {
          peer: address,
          before: revision,
          revision: state.revision,
          version: state.config?.version,
          transferMs: response.transferMs,
        });
      }
    } catch (error) {
      // The next round polls other peers.
      logger.debug('peer_silent', {peer: address, cause: String(error)});
    }
  }

  #sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => {
      this.#wakeUp = resolve;
      this.#options.clock.setTimer(durationMs, resolve);
    });
  }
}
