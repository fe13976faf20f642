import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import {describeError} from '@carobseam/core.errors';
import type {Logger} from '@carobseam/core.logger';
import type {Metrics} from '@carobseam/core.metrics';
import type {
  Clock,
  Controller,
  DataCentreName,
  Digest,
  RandomSource,
  Timer,
  VmId,
} from '@carobseam/core.types';
import type {VersionContents} from '@carobseam/config.types';
import type {
  AnnounceReply,
  AnnounceRequest,
  PeerLink,
  PullReply,
  PullRequest,
  PushReply,
  PushRequest,
} from '@carobseam/fleet.link';
import {DeltaReceiver} from './delta_receiver.js';
import {TransferLimiter} from './transfer_limiter.js';
import {TreeBroadcaster} from './tree_broadcaster.js';
import type {
  ApplyOutcome,
  VersionApplier,
  VersionRefusal,
} from './version_applier.js';
import {VersionHistory, type PayloadAuthenticator} from './version_history.js';
import {VersionPuller, type Peer, type PullResult} from './version_puller.js';

/** `fast` pushes deltas, `small` announces versions; see docs/design.md. */
export type DisseminationProfile = 'fast' | 'small';

/** Options of a `DisseminationController`. */
export interface DisseminationControllerOptions {
  vmId: VmId;
  dataCentre: DataCentreName;
  profile: DisseminationProfile;
  blackboard: DaemonBlackboard;
  applier: VersionApplier;
  link: PeerLink;
  authenticator: PayloadAuthenticator;
  clock: Clock;
  random: RandomSource;
  metrics: Metrics;
  logger: Logger;
}

/** Larger deltas are announced, so that two senders do not both send one. */
const MAX_PUSH_BYTES = 64_000;
const BATCH_WINDOW_MS = 200;
/**
 * Limit for `small`. Announcing and pulling costs about 280 bytes more than a
 * push, so a delta of the size of a probe is sent in place of its announcement.
 */
const MAX_SMALL_PUSH_BYTES = 1000;

const PUSH_OUTCOMES: Partial<Record<ApplyOutcome, PushReply['outcome']>> = {
  applied: 'applied',
  held: 'held',
  older: 'held',
};

/** Spreads versions along the tree of the data centre and repairs losses. */
export class DisseminationController implements Controller {
  readonly #options: DisseminationControllerOptions;
  readonly #history: VersionHistory;
  readonly #receiver: DeltaReceiver;
  readonly #limiter: TransferLimiter;
  readonly #tree: TreeBroadcaster;
  readonly #puller: VersionPuller;
  /** Pushed delta that could not be applied; its children may be able to. */
  #unapplied?: {digest: Digest; bytes: Uint8Array; senderId: string};
  #belowFloor?: VersionContents;
  #batch?: {timer: Timer};
  #stopObserving: Array<() => void> = [];

  constructor(options: DisseminationControllerOptions) {
    this.#options = options;
    const {applier, profile} = options;
    const allPresets = profile === 'fast';
    this.#history = new VersionHistory({...options, allPresets});
    this.#receiver = new DeltaReceiver(options);
    this.#limiter = new TransferLimiter(options);
    this.#tree = new TreeBroadcaster(options);
    this.#puller = new VersionPuller({
      ...options,
      shouldPull: (version, digest) => applier.shouldPull(version, digest),
      pull: peer => this.#pull(peer),
    });
  }

  async start(): Promise<void> {
    const {blackboard} = this.#options;
    this.#stopObserving = [
      blackboard.observe('versionFloor', () => this.#offerAgain()),
      blackboard.observe('members', (members, previous) => {
        // A version that arrived before the members did went no further.
        if (previous.size <= 1 && members.size > 1) {
          this.#announce();
        }
      }),
    ];
  }

  async close(): Promise<void> {
    this.#stopObserving.forEach(stop => stop());
    this.#batch?.timer.cancel();
    this.#puller.close();
  }

  /** Why a version of the platform need not be read any further, if so. */
  checkVersion(version: number, digest: Digest): VersionRefusal | undefined {
    return this.#options.applier.checkVersion(version, digest);
  }

  /** Applies a version that was read from the platform and spreads it. */
  applyPlatformVersion(contents: VersionContents): ApplyOutcome {
    const {applier, blackboard, clock, profile} = this.#options;
    const previous = blackboard.read('snapshot');
    const outcome = applier.apply(contents, 'platform');
    if (outcome === 'below_floor') {
      this.#belowFloor = contents;
    }
    if (outcome !== 'applied') {
      return outcome;
    }
    this.#history.addVersion(contents, clock.wallMs());
    if (profile === 'small') {
      this.#addToBatch(previous?.manifestDigest);
    } else {
      this.#pushFrom(previous?.manifestDigest, MAX_PUSH_BYTES);
    }
    return outcome;
  }

  /**
   * Learns from a probe or an exchange which version a peer holds, and pulls
   * it when this daemon is behind.
   */
  handlePeerVersion(peer: Peer, version: number, digest?: Digest): void {
    this.#puller.schedulePull(peer, version, digest);
  }

  /** Handles a push of a peer. */
  async handlePush(request: PushRequest): Promise<PushReply> {
    const received = this.#receiver.receive(request.bytes);
    if (received.kind === 'dropped') {
      return {outcome: 'rejected'};
    }
    if (received.kind === 'refused') {
      return {outcome: PUSH_OUTCOMES[received.refusal] ?? 'rejected'};
    }
    if (received.kind === 'not_applicable') {
      const {version, digest} = received;
      this.#unapplied = {digest, ...request};
      this.#pullNow(request.senderId, version, digest);
      return {outcome: 'needs_pull'};
    }
    const {contents, firstReadWallMs} = received;
    const outcome = this.#accept(contents, 'push', firstReadWallMs);
    if (outcome === 'applied') {
      this.#push(request.bytes, request.senderId);
    }
    return {outcome: PUSH_OUTCOMES[outcome] ?? 'rejected'};
  }

  /** Handles an announcement; the reply tells the version held here. */
  async handleAnnounce(request: AnnounceRequest): Promise<AnnounceReply> {
    const {senderId, version, digest} = request;
    const held = this.#heldVersion();
    this.#pullNow(senderId, version, digest);
    return held;
  }

  /** Tells a peer the version held here, and learns its version. */
  async exchangeVersions(peer: Peer): Promise<void> {
    const {link, vmId} = this.#options;
    const request = {senderId: vmId, ...this.#heldVersion()};
    const reply = await link.announce(peer, request);
    this.handlePeerVersion(peer, reply.version, reply.digest);
  }

  /** Handles a pull of a peer. */
  async handlePull(request: PullRequest): Promise<PullReply> {
    const held = this.#options.blackboard.read('snapshot');
    if (!held || held.version <= request.heldVersion) {
      return {outcome: 'nothing_newer'};
    }
    const delta = this.#history.encodeDelta(request.heldDigest);
    if (!delta) {
      return {outcome: 'nothing_newer'};
    }
    const isLarge = delta.isFull || delta.bytes.byteLength > MAX_PUSH_BYTES;
    const retryAfterMs = isLarge ? this.#limiter.start() : 0;
    this.#countTransfer('serve', retryAfterMs > 0 ? 'busy' : 'sent');
    return retryAfterMs > 0
      ? {outcome: 'busy', retryAfterMs}
      : {outcome: 'delta', bytes: delta.bytes};
  }

  /** Pulls a newer version from a peer now, if it has one. */
  async pullFrom(peer: Peer): Promise<PullResult['outcome']> {
    const {outcome} = await this.#puller.pullFrom(peer);
    return outcome;
  }

  #accept(
    contents: VersionContents,
    source: 'push' | 'pull',
    firstReadWallMs: number,
  ): ApplyOutcome {
    const {applier, clock, metrics} = this.#options;
    const outcome = applier.apply(contents, source);
    if (outcome === 'applied') {
      this.#history.addVersion(contents, firstReadWallMs);
      // Wall clocks of two VMs may differ.
      const lagMs = Math.max(0, clock.wallMs() - firstReadWallMs);
      const lagS = lagMs / 1000;
      metrics.observe('carobseam_config_convergence_lag_seconds', lagS);
    }
    return outcome;
  }

  async #pull(peer: Peer, full = false): Promise<PullResult> {
    const {link, blackboard} = this.#options;
    const held = blackboard.read('snapshot');
    const reply = await link.pull(peer, {
      heldDigest: full ? undefined : held?.manifestDigest,
      heldVersion: held?.version ?? 0,
    });
    this.#countTransfer('pull', reply.outcome);
    if (reply.outcome === 'busy') {
      return reply;
    }
    if (reply.outcome === 'nothing_newer') {
      return {outcome: 'unavailable'};
    }
    const received = this.#receiver.receive(reply.bytes);
    if (received.kind === 'not_applicable' && !received.full && !full) {
      return this.#pull(peer, true);
    }
    if (received.kind !== 'contents') {
      return {outcome: 'refused'};
    }
    const {contents, firstReadWallMs} = received;
    const outcome = this.#accept(contents, 'pull', firstReadWallMs);
    if (outcome !== 'applied') {
      return {outcome: 'refused'};
    }
    this.#forwardPulled(contents.manifestDigest, peer.vmId);
    return {outcome};
  }

  #forwardPulled(digest: Digest, fromId: VmId): void {
    const unapplied = this.#unapplied;
    this.#unapplied = undefined;
    if (unapplied?.digest === digest) {
      this.#push(unapplied.bytes, unapplied.senderId);
    } else {
      this.#announce(fromId);
    }
  }

  #pullNow(senderId: string, version: number, digest?: Digest): void {
    const peer = this.#findPeer(senderId);
    if (peer) {
      this.#puller.pullNow(peer, version, digest);
    }
  }

  #findPeer(vmId: string): Peer | undefined {
    const {blackboard} = this.#options;
    const member = blackboard.read('members').get(vmId as VmId);
    return (
      member ?? blackboard.read('remotePeers').find(peer => peer.vmId === vmId)
    );
  }

  #offerAgain(): void {
    const contents = this.#belowFloor;
    if (contents) {
      this.#belowFloor = undefined;
      this.applyPlatformVersion(contents);
    }
  }

  #heldVersion(): {version: number; digest?: Digest} {
    const held = this.#options.blackboard.read('snapshot');
    return {version: held?.version ?? 0, digest: held?.manifestDigest};
  }

  /** The versions of a window are spread as one delta. */
  #addToBatch(baseDigest?: Digest): void {
    if (this.#batch) {
      return;
    }
    const timer = this.#options.clock.setTimer(BATCH_WINDOW_MS, () => {
      this.#batch = undefined;
      this.#pushFrom(baseDigest, MAX_SMALL_PUSH_BYTES);
    });
    this.#batch = {timer};
  }

  #pushFrom(baseDigest: Digest | undefined, maxBytes: number): void {
    const delta = this.#history.encodeDelta(baseDigest);
    if (delta && delta.bytes.byteLength <= maxBytes) {
      this.#push(delta.bytes);
    } else {
      this.#announce();
    }
  }

  #push(bytes: Uint8Array, exceptId?: string): void {
    const {link, vmId} = this.#options;
    const request = {senderId: vmId, bytes};
    this.#spread('push', exceptId, async peer => {
      const {outcome} = await link.push(peer, request);
      return outcome;
    });
  }

  #announce(exceptId?: string): void {
    if (!this.#options.blackboard.read('snapshot')) {
      return;
    }
    this.#spread('announce', exceptId, async peer => {
      await this.exchangeVersions(peer);
      return 'sent';
    });
  }

  #spread(
    kind: string,
    exceptId: string | undefined,
    send: (peer: Peer) => Promise<string>,
  ): void {
    this.#tree.broadcast(async peer => {
      try {
        this.#countTransfer(kind, await send(peer));
      } catch (error) {
        this.#countTransfer(kind, 'failed');
        const fields = {peer: peer.vmId, error: describeError(error)};
        this.#options.logger.warn(`${kind}_failed`, fields);
        throw error;
      }
    }, exceptId);
  }

  #countTransfer(kind: string, outcome: string): void {
    const {metrics} = this.#options;
    metrics.increment('carobseam_transfers_total', {kind, outcome});
  }
}
