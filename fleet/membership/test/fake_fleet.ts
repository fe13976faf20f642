import {createDaemonBlackboard} from '@carobseam/core.blackboard';
import {ManualClock, PauseDetector, SeededRandom} from '@carobseam/core.clock';
import {silentLogger} from '@carobseam/core.logger';
import {Metrics} from '@carobseam/core.metrics';
import type {
  Clock,
  DataCentreName,
  ServiceName,
  Timer,
  VmId,
} from '@carobseam/core.types';
import {
  decodeDatagram,
  encodeDatagram,
  DATAGRAM_HEADER_BYTES,
  type DatagramHandler,
} from '@carobseam/fleet.datagram';
import {MembershipController} from '@carobseam/fleet.membership';
import {TreeNoticeBroadcaster} from '@carobseam/fleet.notices';
import type {
  DatagramMessage,
  FleetEndpoint,
  MemberRecord,
} from '@carobseam/fleet.types';
import type {ListedVm} from '@carobseam/config.published_reader';

const LATENCY_MS = 1;
/** Promise callbacks run once in each step. */
const STEP_MS = 5;
const LINK_TIMEOUT_MS = 1500;
const BASE_PORT = 1000;

/** Clock of one process; a paused process runs its timers on resuming. */
class ProcessClock implements Clock {
  readonly #clock: ManualClock;
  readonly #late: Array<() => void> = [];
  paused = false;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  monotonicMs(): number {
    return this.#clock.monotonicMs();
  }

  wallMs(): number {
    return this.#clock.wallMs();
  }

  setTimer(delayMs: number, run: () => void): Timer {
    let cancelled = false;
    const timer = this.#clock.setTimer(delayMs, () =>
      this.whenRunning(() => cancelled || run()),
    );
    const cancel = () => {
      cancelled = true;
      timer.cancel();
    };
    return {cancel};
  }

  whenRunning(run: () => void): void {
    if (this.paused) {
      this.#late.push(run);
    } else {
      run();
    }
  }

  resume(): void {
    this.paused = false;
    this.#late.splice(0).forEach(run => run());
  }
}

/** One daemon's membership with its fakes. */
export class FakeNode {
  readonly blackboard = createDaemonBlackboard();
  readonly metrics = new Metrics();
  readonly versions = new Map<VmId, number>();
  readonly clock: ProcessClock;
  readonly self: MemberRecord;
  readonly relay: TreeNoticeBroadcaster;
  readonly membership: MembershipController;
  readonly #pauseDetector: PauseDetector;
  handler: DatagramHandler = () => {};
  bytesOut = 0;
  crashed = false;

  constructor(fleet: FakeFleet, index: number, incarnation: number) {
    this.clock = new ProcessClock(fleet.clock);
    this.self = recordOf(index, incarnation);
    const {clock, blackboard, metrics} = this;
    const random = new SeededRandom(fleet.seed + index + incarnation);
    this.#pauseDetector = new PauseDetector({clock});
    const common = {blackboard, clock, metrics, random, logger: silentLogger};
    this.relay = new TreeNoticeBroadcaster({
      ...common,
      vmId: this.self.vmId,
      dataCentre: this.self.dataCentre,
      link: {notify: (peer, request) => fleet.notify(this, peer, request)},
    });
    this.membership = new MembershipController({
      ...common,
      self: this.self,
      transport: {
        send: (to, message) => fleet.send(this, to, message),
        onMessage: handler => (this.handler = handler),
      },
      notices: this.relay,
      pauseDetector: this.#pauseDetector,
      processExitCheck: {
        hasExited: async to => fleet.nodeAt(to)?.crashed ?? false,
      },
      onVersionSeen: (vmId, version) => this.versions.set(vmId, version),
      onPeerMessage: () => {},
    });
  }

  start(vms: readonly ListedVm[]): void {
    void this.#pauseDetector.start();
    void this.membership.start();
    this.setList(vms);
    this.blackboard.write('lifecycle', 'serving');
  }

  setList(vms: readonly ListedVm[]): void {
    const index = this.blackboard.read('vmList').index + 1;
    this.blackboard.write('vmList', {index, vms});
  }

  stateOf(other: FakeNode): string | undefined {
    return this.blackboard.read('members').get(other.self.vmId)?.state;
  }

  crash(): void {
    this.crashed = true;
    this.clock.paused = true;
  }
}

/** Daemons of one data centre on an in-memory network. */
export class FakeFleet {
  readonly clock = new ManualClock();
  readonly seed: number;
  readonly nodes: FakeNode[] = [];
  /** Whether a datagram or notice is lost. */
  isLost: (from: FakeNode, to: FakeNode) => boolean = () => false;
  /** Whether notices are lost, so that gossip alone remains. */
  losesNotices: boolean;
  /** Copies and extra delay of each datagram. */
  copies = 1;
  extraDelayMs: () => number = () => 0;

  constructor(size: number, seed: number, losesNotices = false) {
    this.seed = seed;
    this.losesNotices = losesNotices;
    for (let index = 0; index < size; index++) {
      this.nodes.push(new FakeNode(this, index, 1));
    }
    this.nodes.forEach(node => node.start(this.list()));
  }

  list(): ListedVm[] {
    return this.nodes.map(({self}) => listedOf(self));
  }

  async run(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  /** Replaces a node by a restarted one. */
  restart(index: number, incarnation: number): FakeNode {
    this.nodes[index]!.crash();
    const node = new FakeNode(this, index, incarnation);
    this.nodes[index] = node;
    node.start(this.list());
    return node;
  }

  nodeAt({fleetPort}: FleetEndpoint): FakeNode | undefined {
    return this.nodes[fleetPort - BASE_PORT];
  }

  /** Whether every running daemon sees all others in a state. */
  allSee(state: string, of = this.nodes): boolean {
    return this.nodes
      .filter(node => !node.crashed)
      .every(node =>
        of.every(other => other === node || node.stateOf(other) === state),
      );
  }

  send(from: FakeNode, to: FleetEndpoint, message: DatagramMessage): void {
    const bytes = encodeDatagram(message);
    from.bytesOut += bytes.length + DATAGRAM_HEADER_BYTES;
    for (let copy = 0; copy < this.copies; copy++) {
      const delayMs = LATENCY_MS + this.extraDelayMs();
      this.clock.setTimer(delayMs, () => this.#deliver(from, to, bytes));
    }
  }

  async notify(
    from: FakeNode,
    peer: FleetEndpoint,
    request: Parameters<TreeNoticeBroadcaster['handleNotify']>[0],
  ): Promise<void> {
    const to = this.nodeAt(peer);
    await this.#wait(LATENCY_MS);
    if (this.losesNotices) {
      return;
    }
    if (!to || to.crashed) {
      throw new Error('refused');
    }
    if (to.clock.paused || this.isLost(from, to)) {
      await this.#wait(LINK_TIMEOUT_MS);
      throw new Error('timeout');
    }
    await to.relay.handleNotify(request);
  }

  #deliver(from: FakeNode, to: FleetEndpoint, bytes: Uint8Array): void {
    const receiver = this.nodeAt(to);
    if (receiver && !receiver.crashed && !this.isLost(from, receiver)) {
      const message = decodeDatagram(bytes)!;
      receiver.clock.whenRunning(() => receiver.handler(message, from.self));
    }
  }

  #wait(delayMs: number): Promise<void> {
    return new Promise(resolve => this.clock.setTimer(delayMs, resolve));
  }
}

function recordOf(index: number, incarnation: number): MemberRecord {
  return {
    vmId: `dakar-plateau-counter-desk-${index}` as VmId,
    dataCentre: 'dakar-plateau' as DataCentreName,
    service: 'counter-desk' as ServiceName,
    address: '10.0.100.100',
    fleetPort: BASE_PORT + index,
    callersPort: BASE_PORT + index,
    incarnation,
    state: 'alive',
    servingSinceWallMs: Number.MAX_SAFE_INTEGER,
    configVersion: 0,
  };
}

function listedOf(self: MemberRecord): ListedVm {
  const {vmId, dataCentre, service, address, fleetPort, callersPort} = self;
  const place = {vmId, dataCentre, service, address};
  return {...place, fleetPort, callersPort, state: 'live'};
}
