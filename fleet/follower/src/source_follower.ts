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
const SHORT_BATCH_MS = 100; // while workers whose entries are missing may register again
const FIRST_PROBE_MS = 60; // a few times the response time of the source
const MAX_PROBE_INTERVAL_MS = 500; // two probes a second; the shortest limits leave 1 s beyond the time that workers need to register again
const SILENCE_MS = 500; // later than the response of a source that is 90 times slower than its usual 4 ms
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

/** The probes that look for the end of an outage. */
interface ProbeSearch {
  /** Whether a probe had a response, or none is needed any more. */
  isOver: boolean;
  /** When the probes without an outcome were sent, in ms. */
  readonly pendingSinceMs: Set<number>;
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
  /** Time of the last response of the source, or at which readers were fresh. */
  #lastContactMs: number;
  #callStartMs = 0;
  /** How long the source may wait for a change before it responds to the call. */
  #callWaitMs = 0;
  #failureCount = 0;
  #peerRoundTimer?: Timer;
  #wakeUp?: () => void;

  constructor(options: SourceFollowerOptions) {
    this.#options = options;
    this.#lastContactMs = options.clock.monotonicMs();
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
        this.#handleFailure(error);
        await this.#probeUntilResponse();
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
    this.#callStartMs = clock.monotonicMs();
    if (this.#needsFullRead) {
      this.#callWaitMs = 0;
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
    this.#callWaitMs = readers.isReader ? READER_WAIT_MS : WATCH_WAIT_MS;
    const changes = await source.watch(state.revision, this.#callWaitMs);
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
      await this.#sleep(state.holdsRemovals ? SHORT_BATCH_MS : BATCH_MS);
    }
  }

  #recordContact(): void {
    this.#hasSourceContact = true;
    this.#options.onContact?.();
  }

  /** Ends an outage, if there is one: the source responds again, or the state from readers is fresh. */
  #endOutage(): void {
    const {clock, logger, state} = this.#options;
    this.#lastContactMs = clock.monotonicMs();
    if (this.#failureCount === 0) {
      return;
    }
    this.#failureCount = 0;
    this.#peerRoundTimer?.cancel();
    this.#peerRoundTimer = undefined;
    logger.info('source_regained', {
      awayMs: Math.round(state.endSourceOutage() ?? 0),
      revision: state.revision,
    });
  }

  #handleFailure(error: unknown): void {
    if (this.#isClosed) {
      return;
    }
    const {clock, logger, onCall, state} = this.#options;
    onCall?.('failed');
    this.#hasSourceContact = false;
    this.#failureCount++;
    state.recordSourceFailure(this.#unavailableSinceMs());
    if (this.#failureCount > 1) {
      return;
    }
    logger.warn('source_lost', {
      cause: error instanceof Error ? error.message : String(error),
      revision: state.revision,
      contactAgeMs: Math.round(clock.monotonicMs() - this.#lastContactMs),
      outcome: 'probes the source and asks peers',
    });
    this.#peerRoundTimer = clock.setTimer(0, () => this.#pollPeers());
  }

  /**
   * Since when the source may have been unavailable, when a call has just failed:
   * since the last contact if it was silent, as the connection may have gone
   * silent at any time since then.
   */
  #unavailableSinceMs(): number {
    const nowMs = this.#options.clock.monotonicMs();
    const limitMs = this.#callStartMs + this.#callWaitMs + SILENCE_MS;
    return nowMs > limitMs ? this.#lastContactMs : nowMs;
  }

  /**
   * Probes the source until it responds or readers are followed. Does not wait
   * for the outcome of one probe before the next one: a connection that was
   * begun in a cut may stay silent for seconds after its end.
   */
  async #probeUntilResponse(): Promise<void> {
    const {random, readers} = this.#options;
    const search: ProbeSearch = {isOver: false, pendingSinceMs: new Set()};
    for (let count = this.#failureCount; !search.isOver; count++) {
      const intervalMs = Math.min(
        MAX_PROBE_INTERVAL_MS,
        FIRST_PROBE_MS * 2 ** (count - 1),
      );
      await this.#sleep(intervalMs * (0.5 + random.nextFloat() / 2));
      if (this.#isClosed || readers.freshForMs > 0) {
        search.isOver = true;
      } else if (!search.isOver) {
        void this.#probe(search);
      }
    }
  }

  async #probe(search: ProbeSearch): Promise<void> {
    const {clock, onCall, source, state} = this.#options;
    const {pendingSinceMs} = search;
    const startMs = clock.monotonicMs();
    pendingSinceMs.add(startMs);
    let hasResponse = false;
    try {
      await source.probe();
      hasResponse = true;
    } catch {
      // Not logged: `source_lost` told the cause, and the call is counted.
    }
    onCall?.(hasResponse ? 'ok' : 'failed');
    if (search.isOver) {
      return;
    }
    pendingSinceMs.delete(startMs);
    if (!hasResponse) {
      state.recordSourceFailure(startMs);
      return;
    }
    search.isOver = true;
    // Earlier probes that are still pending were lost.
    const lostMs = [...pendingSinceMs].filter(sinceMs => sinceMs < startMs);
    lostMs.forEach(sinceMs => state.recordSourceFailure(sinceMs));
    state.recordSourceResponse();
    this.#wakeUp?.();
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
