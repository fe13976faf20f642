import type {MeshSource, MeshState} from '@carobseam/config.mesh';
import type {Logger} from '@carobseam/core.logger';
import type {Clock, RandomSource, Timer} from '@carobseam/core.types';
import type {FetchFeed} from './feed_message.js';

const WATCH_WAIT_MS = 2500; // a silent connection is noticed before the drain bound has passed twice
const READER_WAIT_MS = 600; // followers notice within 1.2 s that the source is silent
const MIN_PAUSE_MS = 20; // readers that have just gone silent are noticed no later
const CATCH_UP_MS = 2000; // several changes of a storm; then a watch shows whether it is over
const BATCH_MS = 350; // changes of this time share one call; well below the bounds of 2 s
const FIRST_RETRY_MS = 60; // a few times the answer time of the source
const MAX_RETRY_MS = 500; // two tries within a bound of 2 s
const AWAY_MS = 700; // shorter gaps cannot let entries lapse
const PEER_INTERVAL_MS = 300; // several tries within the bound for an unstable source
const PEERS_PER_ROUND = 2; // one of them may be cut off too

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
  /** Other relays that read the source, and whether this one does. */
  readers: {
    /** How long the others make calls needless, in ms; 0 when they do not. */
    readonly freshForMs: number;
    readonly isReader: boolean;
  };
  /** Whether several versions of a large configuration take too long to read. */
  hasLowBandwidthLink: boolean;
  /** Called when the source has answered and its answer is in force. */
  onContact?: () => void;
  /** Called for each call to the source with its outcome. */
  onCall?: (outcome: 'ok' | 'failed') => void;
}

/** Follows the source; asks peers while the source does not answer. */
export class SourceFollower {
  readonly #options: SourceFollowerOptions;
  #isClosed = false;
  #needsRead = true;
  #wasFollowing = false;
  #readsUntilMs = -Infinity;
  #failures = 0;
  #failingSinceMs = 0;
  #peerTimer?: Timer;
  #wake?: () => void;

  constructor(options: SourceFollowerOptions) {
    this.#options = options;
  }

  /** Runs until `close`. */
  async run(): Promise<void> {
    while (!this.#isClosed) {
      const {freshForMs: freshMs} = this.#options.readers;
      if (this.#options.state.config && freshMs > 0) {
        this.#regained();
        this.#needsRead = false;
        this.#wasFollowing = true;
        await this.#sleep(Math.max(MIN_PAUSE_MS, freshMs));
        continue;
      }
      if (this.#wasFollowing) {
        this.#wasFollowing = false;
        // Every version since would cross a thin link, not just the newest.
        this.#needsRead = true;
        this.#options.logger.info('readers_silent', {
          revision: this.#options.state.revision,
          outcome: 'reads the source',
        });
      }
      try {
        await this.#step();
        this.#options.onCall?.('ok');
      } catch (error) {
        await this.#failed(error);
      }
    }
  }

  close(): void {
    this.#isClosed = true;
    this.#peerTimer?.cancel();
    this.#options.source.close();
    this.#wake?.();
  }

  async #step(): Promise<void> {
    const {source, state, logger, readers, clock} = this.#options;
    if (this.#needsRead) {
      const snapshot = await source.read();
      this.#regained();
      state.applySnapshot(snapshot);
      this.#options.onContact?.();
      this.#needsRead = clock.monotonicMs() < this.#readsUntilMs;
      if (this.#needsRead) {
        await this.#sleep(BATCH_MS);
      }
      return;
    }
    const waitMs = readers.isReader ? READER_WAIT_MS : WATCH_WAIT_MS;
    const changes = await source.watch(state.revision, waitMs);
    this.#regained();
    if (!changes) {
      logger.warn('source_history_lost', {
        revision: state.revision,
        outcome: 'reads everything',
      });
      this.#needsRead = true;
      return;
    }
    state.applyChanges(changes);
    this.#options.onContact?.();
    if (
      this.#options.hasLowBandwidthLink &&
      (changes.configVersionCount ?? 1) > 1
    ) {
      // A watch carries every version; in a storm only readings keep up.
      this.#readsUntilMs = clock.monotonicMs() + CATCH_UP_MS;
      this.#needsRead = true;
    }
    if (changes.config || changes.workers.length > 0) {
      await this.#sleep(BATCH_MS);
    }
  }

  /** The source is heard again, by itself or through its readers. */
  #regained(): void {
    if (this.#failures === 0) {
      return;
    }
    const awayMs = this.#options.clock.monotonicMs() - this.#failingSinceMs;
    this.#failures = 0;
    this.#peerTimer?.cancel();
    this.#peerTimer = undefined;
    if (awayMs >= AWAY_MS) {
      this.#options.state.startRemovalGracePeriod();
    }
    this.#options.logger.info('source_regained', {
      awayMs: Math.round(awayMs),
      revision: this.#options.state.revision,
    });
  }

  async #failed(error: unknown): Promise<void> {
    if (this.#isClosed) {
      return;
    }
    this.#options.onCall?.('failed');
    this.#failures++;
    if (this.#failures === 1) {
      this.#failingSinceMs = this.#options.clock.monotonicMs();
      this.#options.logger.warn('source_lost', {
        cause: error instanceof Error ? error.message : String(error),
        revision: this.#options.state.revision,
        outcome: 'asks peers',
      });
      this.#peerTimer = this.#options.clock.setTimer(0, () => this.#askPeers());
    }
    const delayMs = Math.min(
      MAX_RETRY_MS,
      FIRST_RETRY_MS * 2 ** (this.#failures - 1),
    );
    await this.#sleep(delayMs * (0.5 + this.#options.random.nextFloat() / 2));
  }

  #askPeers(): void {
    const {clock, random, peerAddresses} = this.#options;
    const peers = [...peerAddresses()];
    for (let count = 0; count < PEERS_PER_ROUND && peers.length > 0; count++) {
      const [peer] = peers.splice(random.nextInt(peers.length), 1);
      void this.#askPeer(peer!);
    }
    this.#peerTimer = clock.setTimer(PEER_INTERVAL_MS, () => this.#askPeers());
  }

  async #askPeer(address: string): Promise<void> {
    const {state, logger, fetchFeed} = this.#options;
    const {revision} = state;
    try {
      const answer = await fetchFeed(address, {
        version: state.config?.version ?? 0,
        revision,
        acceptsWhole: true,
        waitMs: 0,
      });
      if (answer.isWhole && answer.revision > state.revision) {
        state.applyUpdate(answer);
        logger.info('state_from_peer', {
          peer: address,
          before: revision,
          revision: state.revision,
          version: state.config?.version,
        });
      }
    } catch (error) {
      // Another peer is asked in the next round.
      logger.debug('peer_silent', {peer: address, cause: String(error)});
    }
  }

  #sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => {
      this.#wake = resolve;
      this.#options.clock.setTimer(durationMs, resolve);
    });
  }
}
