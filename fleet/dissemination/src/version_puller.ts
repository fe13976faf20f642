import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {
  Clock,
  Digest,
  RandomSource,
  Timer,
  VmId,
} from '@carobseam/core.types';
import type {PeerEndpoint} from '@carobseam/fleet.link';
import {PeerBackoff} from './peer_backoff.js';

/** A peer of any data centre. */
export interface Peer extends PeerEndpoint {
  readonly vmId: VmId;
}

/** Result of one pull. */
export type PullResult =
  | {outcome: 'applied' | 'unavailable' | 'refused'}
  | {outcome: 'busy'; retryAfterMs: number};

/** Options of a `VersionPuller`. */
export interface VersionPullerOptions {
  vmId: VmId;
  blackboard: DaemonBlackboard;
  clock: Clock;
  random: RandomSource;
  /** Whether a version is newer than the held one and not known as invalid. */
  shouldPull: (version: number, digest?: Digest) => boolean;
  /** Pulls from a peer and applies the result; rejects if unreachable. */
  pull: (peer: Peer) => Promise<PullResult>;
}

/** A peer that reported a newer version. */
interface Candidate {
  readonly peer: Peer;
  readonly version: number;
  readonly digest?: Digest;
  /** Failed attempts; after the last one, the next probe re-adds the peer. */
  failures: number;
}

const MAX_CANDIDATES = 16;
const MAX_FAILURES = 3;
/** Minimum delay, so that a push in flight can arrive first. */
const MIN_PULL_DELAY_MS = 50;
const PULL_JITTER_MS = 200;
const RETRY_JITTER_MS = 50;

/** Pulls newer versions from the peers that reported them, one at a time. */
export class VersionPuller {
  readonly #options: VersionPullerOptions;
  readonly #backoff: PeerBackoff;
  readonly #candidates = new Map<VmId, Candidate>();
  #timer?: {timer: Timer; dueMs: number};
  #isPulling = false;
  #isClosed = false;

  constructor(options: VersionPullerOptions) {
    this.#options = options;
    this.#backoff = new PeerBackoff(options);
  }

  /** Schedules a pull with jitter; skipped if the version arrives before. */
  schedulePull(peer: Peer, version: number, digest?: Digest): void {
    const {random} = this.#options;
    const delayMs = MIN_PULL_DELAY_MS + random.nextFloat() * PULL_JITTER_MS;
    this.#addCandidate(peer, version, digest, delayMs);
  }

  /** Schedules a pull for as soon as no other pull is running. */
  pullNow(peer: Peer, version: number, digest?: Digest): void {
    this.#addCandidate(peer, version, digest, 0);
  }

  /** Pulls once from a peer, unless another pull is running. */
  async pullFrom(peer: Peer): Promise<PullResult> {
    if (this.#isPulling) {
      return {outcome: 'unavailable'};
    }
    this.#isPulling = true;
    try {
      return await this.#options.pull(peer);
    } finally {
      this.#isPulling = false;
      this.#scheduleRun(0);
    }
  }

  close(): void {
    this.#isClosed = true;
    this.#timer?.timer.cancel();
    this.#candidates.clear();
  }

  #addCandidate(
    peer: Peer,
    version: number,
    digest: Digest | undefined,
    delayMs: number,
  ): void {
    if (this.#isClosed || !this.#options.shouldPull(version, digest)) {
      return;
    }
    const failures = this.#candidates.get(peer.vmId)?.failures ?? 0;
    const isFull = this.#candidates.size >= MAX_CANDIDATES;
    if (isFull && !this.#candidates.has(peer.vmId)) {
      return;
    }
    this.#candidates.set(peer.vmId, {peer, version, digest, failures});
    this.#scheduleRun(delayMs);
  }

  #scheduleRun(delayMs: number): void {
    const {clock} = this.#options;
    if (this.#isClosed || this.#isPulling || this.#candidates.size === 0) {
      return;
    }
    const dueMs = clock.monotonicMs() + delayMs;
    if (this.#timer && this.#timer.dueMs <= dueMs) {
      return;
    }
    this.#timer?.timer.cancel();
    const timer = clock.setTimer(delayMs, () => {
      this.#timer = undefined;
      void this.#pullFromCandidate();
    });
    this.#timer = {timer, dueMs};
  }

  async #pullFromCandidate(): Promise<void> {
    this.#removeUnneeded();
    if (this.#isClosed || this.#isPulling || this.#candidates.size === 0) {
      return;
    }
    const peer = this.#choosePeer();
    if (!peer) {
      this.#scheduleRun(this.#getShortestWaitMs());
      return;
    }
    this.#isPulling = true;
    await this.#pullOnce(peer);
    this.#isPulling = false;
    this.#removeUnneeded();
    this.#scheduleRun(this.#options.random.nextFloat() * RETRY_JITTER_MS);
  }

  async #pullOnce(peer: Peer): Promise<void> {
    const result = await this.#options
      .pull(peer)
      .catch(() => ({outcome: 'failed' as const}));
    if (result.outcome === 'applied') {
      this.#backoff.recordSuccess(peer.vmId);
    } else if (result.outcome === 'busy') {
      this.#backoff.recordBusy(peer.vmId, result.retryAfterMs);
    } else {
      this.#backoff.recordFailure(peer.vmId);
      this.#countFailure(peer);
    }
  }

  #countFailure(peer: Peer): void {
    const candidate = this.#candidates.get(peer.vmId);
    if (candidate && ++candidate.failures >= MAX_FAILURES) {
      this.#candidates.delete(peer.vmId);
    }
  }

  #removeUnneeded(): void {
    for (const [vmId, {version, digest}] of this.#candidates) {
      if (!this.#options.shouldPull(version, digest)) {
        this.#candidates.delete(vmId);
      }
    }
  }

  #choosePeer(): Peer | undefined {
    const candidatePeers = [...this.#candidates.values()].map(({peer}) => peer);
    const readyPeers = candidatePeers.filter(peer => this.#isReady(peer));
    return this.#pick(readyPeers) ?? this.#pick(this.#listOtherHolders());
  }

  /** Lists members to pull from while all candidates are in backoff. */
  #listOtherHolders(): Peer[] {
    const {blackboard, vmId} = this.#options;
    const versions = [...this.#candidates.values()].map(
      candidate => candidate.version,
    );
    const minVersion = Math.min(...versions);
    return [...blackboard.read('members').values()].filter(
      member =>
        member.vmId !== vmId &&
        member.state === 'alive' &&
        member.configVersion >= minVersion &&
        this.#isReady(member),
    );
  }

  #isReady(peer: Peer): boolean {
    return this.#backoff.getWaitMs(peer.vmId) === 0;
  }

  #pick(peers: readonly Peer[]): Peer | undefined {
    return peers[this.#options.random.nextInt(peers.length)];
  }

  #getShortestWaitMs(): number {
    const ids = [...this.#candidates.keys()];
    return Math.min(...ids.map(id => this.#backoff.getWaitMs(id)));
  }
}
