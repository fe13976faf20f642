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

/**
 * `fast` pushes each delta immediately. `small` sends fewer bytes: it batches
 * versions, announces all but very small deltas and omits inactive presets.
 * See docs/design.md.
 */
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

/** Larger deltas are announced, so that a peer does not receive one twice. */
const MAX_PUSH_BYTES = 64_000;
const BATCH_WINDOW_MS = 200;
/**
 * Limit for `small`. An announcement with a pull costs about 280 bytes more
 * than a push, so a small delta (about the size of a probe) is pushed instead.
 */
const MAX_SMALL_PUSH_BYTES = 1000;

const PUSH_OUTCOMES: Partial<Record<ApplyOutcome, PushReply['outcome']>> = {
  applied: 'applied',
  held: 'held',
  older: 'held',
};

/**
 * Distributes configuration versions to the daemons of the data centre. A new
 * version is pushed or announced along a tree of the members. A daemon that
 * missed it pulls it from a peer that reports a newer version.
 */
export class DisseminationController implements Controller {
  readonly #options: DisseminationControllerOptions;
  readonly #history: VersionHistory;
  readonly #receiver: DeltaReceiver;
  readonly #limiter: TransferLimiter;
  readonly #tree: TreeBroadcaster;
  readonly #puller: VersionPuller;
  /**
   * A pushed delta that this daemon could not apply. It is forwarded once the
   * version has been pulled, because the children may be able to apply it.
   */
  #unappliedDelta?: {digest: Digest; bytes: Uint8Array; senderId: string};
  /**
   * A platform version below the version floor, the lowest version allowed. It
   * is tried again when the floor changes.
   */
  #versionBelowFloor?: VersionContents;
  #batch?: {timer: Timer};
  #unsubscribers: Array<() => void> = [];

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
    this.#unsubscribers = [
      blackboard.observe('versionFloor', () => this.#retryBelowFloor()),
      blackboard.observe('members', (members, previous) => {
        // A version that arrived before the members was not forwarded yet.
        if (previous.size <= 1 && members.size > 1) {
          this.#announce();
        }
      }),
    ];
  }

  async close(): Promise<void> {
    this.#unsubscribers.forEach(unsubscribe => unsubscribe());
    this.#batch?.timer.cancel();
    this.#puller.close();
  }

  /** Returns why a platform version need not be read any further, if so. */
  checkVersion(version: number, digest: Digest): VersionRefusal | undefined {
    return this.#options.applier.checkVersion(version, digest);
  }

  /** Applies a version that was read from the platform and distributes it. */
  applyPlatformVersion(contents: VersionContents): ApplyOutcome {
    const {applier, blackboard, clock, profile} = this.#options;
    const previous = blackboard.read('snapshot');
    const outcome = applier.apply(contents, 'platform');
    if (outcome === 'below_floor') {
      this.#versionBelowFloor = contents;
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
   * Handles the version that a peer reported in a probe or an exchange. Pulls
   * it if it is newer than the held one.
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
      this.#unappliedDelta = {digest, ...request};
      this.#pullNow(request.senderId, version, digest);
      return {outcome: 'needs_pull'};
    }
    const {contents, firstReadWallMs} = received;
    const outcome = this.#applyFromPeer(contents, 'push', firstReadWallMs);
    if (outcome === 'applied') {
      this.#push(request.bytes, request.senderId);
    }
    return {outcome: PUSH_OUTCOMES[outcome] ?? 'rejected'};
  }

  /** Handles an announcement. The reply contains the version held here. */
  async handleAnnounce(request: AnnounceRequest): Promise<AnnounceReply> {
    const {senderId, version, digest} = request;
    const heldVersion = this.#getHeldVersion();
    this.#pullNow(senderId, version, digest);
    return heldVersion;
  }

  /** Sends the held version to a peer and handles the version in its reply. */
  async exchangeVersions(peer: Peer): Promise<void> {
    const {link, vmId} = this.#options;
    const request = {senderId: vmId, ...this.#getHeldVersion()};
    const reply = await link.announce(peer, request);
    this.handlePeerVersion(peer, reply.version, reply.digest);
  }

  /** Handles a pull of a peer. */
  async handlePull(request: PullRequest): Promise<PullReply> {
    const current = this.#options.blackboard.read('snapshot');
    if (!current || current.version <= request.heldVersion) {
      return {outcome: 'nothing_newer'};
    }
    const delta = this.#history.encodeDelta(request.heldDigest);
    if (!delta) {
      return {outcome: 'nothing_newer'};
    }
    const isLarge = delta.isFull || delta.bytes.byteLength > MAX_PUSH_BYTES;
    const retryAfterMs = isLarge ? this.#limiter.tryStart() : 0;
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

  #applyFromPeer(
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

  async #pull(peer: Peer, isFullPull = false): Promise<PullResult> {
    const {link, blackboard} = this.#options;
    const current = blackboard.read('snapshot');
    const reply = await link.pull(peer, {
      heldDigest: isFullPull ? undefined : current?.manifestDigest,
      heldVersion: current?.version ?? 0,
    });
    this.#countTransfer('pull', reply.outcome);
    if (reply.outcome === 'busy') {
      return reply;
    }
    if (reply.outcome === 'nothing_newer') {
      return {outcome: 'unavailable'};
    }
    const received = this.#receiver.receive(reply.bytes);
    if (received.kind === 'not_applicable' && !received.isFull && !isFullPull) {
      return this.#pull(peer, true);
    }
    if (received.kind !== 'contents') {
      return {outcome: 'refused'};
    }
    const {contents, firstReadWallMs} = received;
    const outcome = this.#applyFromPeer(contents, 'pull', firstReadWallMs);
    if (outcome !== 'applied') {
      return {outcome: 'refused'};
    }
    this.#forwardPulled(contents.manifestDigest, peer.vmId);
    return {outcome};
  }

  #forwardPulled(digest: Digest, fromId: VmId): void {
    const unappliedDelta = this.#unappliedDelta;
    this.#unappliedDelta = undefined;
    if (unappliedDelta?.digest === digest) {
      this.#push(unappliedDelta.bytes, unappliedDelta.senderId);
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

  #retryBelowFloor(): void {
    const contents = this.#versionBelowFloor;
    if (contents) {
      this.#versionBelowFloor = undefined;
      this.applyPlatformVersion(contents);
    }
  }

  #getHeldVersion(): {version: number; digest?: Digest} {
    const current = this.#options.blackboard.read('snapshot');
    return {version: current?.version ?? 0, digest: current?.manifestDigest};
  }

  /** Starts a batch window; its versions are distributed as one delta. */
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
    this.#broadcast('push', exceptId, async peer => {
      const {outcome} = await link.push(peer, request);
      return outcome;
    });
  }

  #announce(exceptId?: string): void {
    if (!this.#options.blackboard.read('snapshot')) {
      return;
    }
    this.#broadcast('announce', exceptId, async peer => {
      await this.exchangeVersions(peer);
      return 'sent';
    });
  }

  #broadcast(
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
