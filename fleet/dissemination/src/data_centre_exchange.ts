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
  /** Tells a peer the held version and learns the peer's. */
  exchangeVersions: (peer: Peer) => Promise<void>;
}

const INTERVAL_MS = 1000;
/** Time after which the presumed reader is tried again. */
const RETRY_READER_MS = 30_000;

interface Target {
  /** Position in rendezvous order; the first ones are presumed readers. */
  position: number;
  movedMs: number;
  running: boolean;
}

/**
 * Exchanges versions with one daemon of each other data centre a second, while
 * this daemon is a reader.
 */
export class DataCentreExchange implements Controller {
  readonly #weights: RendezvousWeights = new Map();
  readonly #options: DataCentreExchangeOptions;
  readonly #targets = new Map<DataCentreName, Target>();
  #remotePeers: readonly RemotePeer[] = [];
  #ordered = new Map<DataCentreName, RemotePeer[]>();
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
    const delayMs = INTERVAL_MS * (0.9 + 0.2 * random.nextFloat());
    this.#timer = clock.setTimer(delayMs, () => {
      this.#schedule();
      this.#exchangeAll();
    });
  }

  #exchangeAll(): void {
    if (!this.#options.blackboard.read('reader')) {
      return;
    }
    for (const [dataCentre, peers] of this.#peersByDataCentre()) {
      void this.#exchangeWith(dataCentre, peers);
    }
  }

  async #exchangeWith(
    dataCentre: DataCentreName,
    peers: readonly RemotePeer[],
  ): Promise<void> {
    const {clock, exchangeVersions: exchange, logger} = this.#options;
    const target = this.#targetOf(dataCentre);
    const peer = peers[target.position % peers.length];
    if (!peer || target.running) {
      return;
    }
    target.running = true;
    try {
      await exchange(peer);
      this.#count('answered');
    } catch (error) {
      target.position = (target.position + 1) % peers.length;
      target.movedMs = clock.monotonicMs();
      this.#count('failed');
      const fields = {peer: peer.vmId, error: describeError(error)};
      logger.debug('exchange_failed', fields);
    } finally {
      target.running = false;
    }
  }

  #targetOf(dataCentre: DataCentreName): Target {
    const nowMs = this.#options.clock.monotonicMs();
    const target = this.#targets.get(dataCentre) ?? {
      position: this.#ownPosition(),
      movedMs: nowMs,
      running: false,
    };
    this.#targets.set(dataCentre, target);
    if (nowMs - target.movedMs >= RETRY_READER_MS) {
      target.position = this.#ownPosition();
      target.movedMs = nowMs;
    }
    return target;
  }

  /** Readers of one position exchange with each other, to share the work. */
  #ownPosition(): number {
    const {vmId, dataCentre, blackboard} = this.#options;
    const members = blackboard.read('members').values();
    const order = rendezvousOrder(
      dataCentre,
      members,
      peer => peer.vmId,
      this.#weights,
    );
    return Math.max(
      0,
      order.findIndex(member => member.vmId === vmId),
    );
  }

  #peersByDataCentre(): ReadonlyMap<DataCentreName, RemotePeer[]> {
    const remotePeers = this.#options.blackboard.read('remotePeers');
    if (remotePeers !== this.#remotePeers) {
      this.#remotePeers = remotePeers;
      this.#ordered = groupInRendezvousOrder(remotePeers);
    }
    return this.#ordered;
  }

  #count(outcome: string): void {
    const {metrics} = this.#options;
    metrics.increment('carobseam_version_exchanges_total', {outcome});
  }
}

/** The order in which each data centre chooses its own readers. */
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
