import type {DaemonBlackboard, RemotePeer} from '@carobseam/core.blackboard';
import {describeError} from '@carobseam/core.errors';
import type {Logger} from '@carobseam/core.logger';
import type {Metrics} from '@carobseam/core.metrics';
import type {
  Clock,
  Controller,
  DataCentreName,
  RandomSource,
  Timer,
  VmId,
} from '@carobseam/core.types';
import {rendezvousOrder, type RendezvousWeights} from '@carobseam/fleet.types';
import type {Peer} from './version_puller.js';

/** Options of a `DataCentreExchange`. */
export interface DataCentreExchangeOptions {
  vmId: VmId;
  dataCentre: DataCentreName;
  blackboard: DaemonBlackboard;
  clock: Clock;
  random: RandomSource;
  metrics: Metrics;
  logger: Logger;
  /** Sends the held version to a peer and receives the peer's version. */
  exchangeVersions: (peer: Peer) => Promise<void>;
}

const EXCHANGE_INTERVAL_MS = 1000;
/** Time after a failed exchange until the presumed reader is tried again. */
const RETRY_READER_AFTER_MS = 30_000;

/** The peer of one other data centre with which versions are exchanged. */
interface Target {
  /** Position in rendezvous order; the first ones are presumably readers. */
  position: number;
  positionChangedMs: number;
  isExchanging: boolean;
}

/**
 * Anti-entropy between data centres: while this daemon is a reader (reads
 * versions from the platform), it exchanges versions once a second with one
 * daemon of each other data centre. After a failure it continues with the next
 * daemon in rendezvous order.
 */
export class DataCentreExchange implements Controller {
  readonly #weights: RendezvousWeights = new Map();
  readonly #options: DataCentreExchangeOptions;
  readonly #targets = new Map<DataCentreName, Target>();
  #remotePeers: readonly RemotePeer[] = [];
  #peersInOrder = new Map<DataCentreName, RemotePeer[]>();
  #timer?: Timer;

  constructor(options: DataCentreExchangeOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    this.#schedule();
  }

  async close(): Promise<void> {
    this.#timer?.cancel();
  }

  #schedule(): void {
    const {clock, random} = this.#options;
    const delayMs = EXCHANGE_INTERVAL_MS * (0.9 + 0.2 * random.nextFloat());
    this.#timer = clock.setTimer(delayMs, () => {
      this.#schedule();
      this.#exchangeAll();
    });
  }

  #exchangeAll(): void {
    if (!this.#options.blackboard.read('reader')) {
      return;
    }
    for (const [dataCentre, peers] of this.#getPeersByDataCentre()) {
      void this.#exchangeWith(dataCentre, peers);
    }
  }

  async #exchangeWith(
    dataCentre: DataCentreName,
    peers: readonly RemotePeer[],
  ): Promise<void> {
    const {clock, exchangeVersions, logger} = this.#options;
    const target = this.#getTarget(dataCentre);
    const peer = peers[target.position % peers.length];
    if (!peer || target.isExchanging) {
      return;
    }
    target.isExchanging = true;
    try {
      await exchangeVersions(peer);
      this.#countExchange('answered');
    } catch (error) {
      target.position = (target.position + 1) % peers.length;
      target.positionChangedMs = clock.monotonicMs();
      this.#countExchange('failed');
      const fields = {peer: peer.vmId, error: describeError(error)};
      logger.debug('exchange_failed', fields);
    } finally {
      target.isExchanging = false;
    }
  }

  #getTarget(dataCentre: DataCentreName): Target {
    const nowMs = this.#options.clock.monotonicMs();
    const target = this.#targets.get(dataCentre) ?? {
      position: this.#findOwnPosition(),
      positionChangedMs: nowMs,
      isExchanging: false,
    };
    this.#targets.set(dataCentre, target);
    if (nowMs - target.positionChangedMs >= RETRY_READER_AFTER_MS) {
      target.position = this.#findOwnPosition();
      target.positionChangedMs = nowMs;
    }
    return target;
  }

  /**
   * Returns this daemon's position in its data centre. Readers with the same
   * position exchange versions with each other, which distributes the load.
   */
  #findOwnPosition(): number {
    const {vmId, dataCentre, blackboard} = this.#options;
    const members = blackboard.read('members').values();
    const orderedMembers = rendezvousOrder(
      dataCentre,
      members,
      peer => peer.vmId,
      this.#weights,
    );
    return Math.max(
      0,
      orderedMembers.findIndex(member => member.vmId === vmId),
    );
  }

  #getPeersByDataCentre(): ReadonlyMap<DataCentreName, RemotePeer[]> {
    const remotePeers = this.#options.blackboard.read('remotePeers');
    if (remotePeers !== this.#remotePeers) {
      this.#remotePeers = remotePeers;
      this.#peersInOrder = groupInRendezvousOrder(remotePeers);
    }
    return this.#peersInOrder;
  }

  #countExchange(outcome: string): void {
    const {metrics} = this.#options;
    metrics.increment('carobseam_version_exchanges_total', {outcome});
  }
}

/** Groups peers in the order in which each data centre chooses its readers. */
function groupInRendezvousOrder(
  peers: readonly RemotePeer[],
): Map<DataCentreName, RemotePeer[]> {
  const groups = new Map<DataCentreName, RemotePeer[]>();
  for (const peer of peers) {
    const group = groups.get(peer.dataCentre) ?? [];
    group.push(peer);
    groups.set(peer.dataCentre, group);
  }
  for (const [dataCentre, group] of groups) {
    groups.set(
      dataCentre,
      rendezvousOrder(dataCentre, group, peer => peer.vmId),
    );
  }
  return groups;
}
