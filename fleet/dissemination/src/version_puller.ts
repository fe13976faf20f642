import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {
  Clock,
  Digest,
  RandomSource,
  Timer,
  VmId,
} from '@carobseam/core.types';
import type {PeerAddress} from '@carobseam/fleet.link';
import {PeerBackoff} from './peer_backoff.js';

/** A peer of any data centre. */
export interface Peer extends PeerAddress {
  readonly vmId: VmId;
}

/** What became of one pull. */
export type PullResult =
  | {outcome: 'applied' | 'unavailable' | 'refused'}
  | {outcome: 'busy'; retryAfterMs: number};

/** Options of a `VersionPuller`. */
export interface VersionPullerOptions {
  vmId: VmId;
  blackboard: DaemonBlackboard;
  clock: Clock;
  random: RandomSource;
  /** Whether a version is newer than the held one and not known as bad. */
  shouldPull: (version: number, digest?: Digest) => boolean;
  /** Pulls from a peer and applies the result; rejects when unreachable. */
  pull: (peer: Peer) => Promise<PullResult>;
}

interface Candidate {
  readonly peer: Peer;
  readonly version: number;
  readonly digest?: Digest;
  /** Attempts that failed; the next probe of the peer brings it back. */
  failures: number;
}

const MAX_CANDIDATES = 16;
const MAX_FAILURES = 3;
/** Leaves a push on its way the time to arrive first. */
const REPAIR_DELAY_MS = 50;
const REPAIR_SPREAD_MS = 200;
const RETRY_SPREAD_MS = 50;

/** Pulls versions that peers are known to hold, one pull at a time. */
export class VersionPuller {
  readonly #options: VersionPullerOptions;
  readonly #backoff: PeerBackoff;
  readonly #candidates = new Map<VmId, Candidate>();
  #timer?: {timer: Timer; dueMs: number};
  #running = false;
  #closed = false;

  constructor(options: VersionPullerOptions) {
    this.#options = options;
    this.#backoff = new PeerBackoff(options);
  }

  /** Pulls after a jitter, unless the version arrives before. */
  schedulePull(peer: Peer, version: number, digest?: Digest): void {
    const {random} = this.#options;
    const delayMs = REPAIR_DELAY_MS + random.nextFloat() * REPAIR_SPREAD_MS;
    this.#add(peer, version, digest, delayMs);
  }

  /** Pulls as soon as no other pull runs. */
  pullNow(peer: Peer, version: number, digest?: Digest): void {
    this.#add(peer, version, digest, 0);
  }

  /** Pulls once from a peer, unless another pull runs. */
  async pullFrom(peer: Peer): Promise<PullResult> {
    if (this.#running) {
      return {outcome: 'unavailable'};
    }
    this.#running = true;
    try {
      return await this.#options.pull(peer);
    } finally {
      this.#running = false;
      this.#schedule(0);
    }
  }

  close(): void {
    this.#closed = true;
    this.#timer?.timer.cancel();
    this.#candidates.clear();
  }

  #add(
    peer: Peer,
    version: number,
    digest: Digest | undefined,
    delayMs: number,
  ): void {
    if (this.#closed || !this.#options.shouldPull(version, digest)) {
      return;
    }
    const failures = this.#candidates.get(peer.vmId)?.failures ?? 0;
    const isFull = this.#candidates.size >= MAX_CANDIDATES;
    if (isFull && !this.#candidates.has(peer.vmId)) {
      return;
    }
    this.#candidates.set(peer.vmId, {peer, version, digest, failures});
    this.#schedule(delayMs);
  }

  #schedule(delayMs: number): void {
    const {clock} = this.#options;
    if (this.#closed || this.#running || this.#candidates.size === 0) {
      return;
    }
    const dueMs = clock.monotonicMs() + delayMs;
    if (this.#timer && this.#timer.dueMs <= dueMs) {
      return;
    }
    this.#timer?.timer.cancel();
    const timer = clock.setTimer(delayMs, () => {
      this.#timer = undefined;
      void this.#run();
    });
    this.#timer = {timer, dueMs};
  }

  async #run(): Promise<void> {
    this.#dropUnwanted();
    if (this.#closed || this.#running || this.#candidates.size === 0) {
      return;
    }
    const peer = this.#choose();
    if (!peer) {
      this.#schedule(this.#shortestWaitMs());
      return;
    }
    this.#running = true;
    await this.#attempt(peer);
    this.#running = false;
    this.#dropUnwanted();
    this.#schedule(this.#options.random.nextFloat() * RETRY_SPREAD_MS);
  }

  async #attempt(peer: Peer): Promise<void> {
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

  #dropUnwanted(): void {
    for (const [vmId, {version, digest}] of this.#candidates) {
      if (!this.#options.shouldPull(version, digest)) {
        this.#candidates.delete(vmId);
      }
    }
  }

  #choose(): Peer | undefined {
    const known = [...this.#candidates.values()].map(({peer}) => peer);
    const ready = known.filter(peer => this.#isReady(peer));
    return this.#pick(ready) ?? this.#pick(this.#otherHolders());
  }

  /** Members that hold what the known, blocked peers hold. */
  #otherHolders(): Peer[] {
    const {blackboard, vmId} = this.#options;
    const versions = [...this.#candidates.values()].map(c => c.version);
    const wanted = Math.min(...versions);
    return [...blackboard.read('members').values()].filter(
      member =>
        member.vmId !== vmId &&
        member.state === 'alive' &&
        member.configVersion >= wanted &&
        this.#isReady(member),
    );
  }

  #isReady(peer: Peer): boolean {
    return this.#backoff.waitMs(peer.vmId) === 0;
  }

  #pick(peers: readonly Peer[]): Peer | undefined {
    return peers[this.#options.random.nextInt(peers.length)];
  }

  #shortestWaitMs(): number {
    const ids = [...this.#candidates.keys()];
    return Math.min(...ids.map(id => this.#backoff.waitMs(id)));
  }
}
