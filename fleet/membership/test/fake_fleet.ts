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
/** Step of the manual clock; promise callbacks run after each step. */
const STEP_MS = 5;
const LINK_TIMEOUT_MS = 1500;
const BASE_PORT = 1000;

/** Clock of one process. A paused process runs its overdue timers on resume. */
class ProcessClock implements Clock {
  readonly #clock: ManualClock;
  readonly #deferredCallbacks: Array<() => void> = [];
  isPaused = false;

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
    let isCancelled = false;
    const timer = this.#clock.setTimer(delayMs, () =>
      this.runUnlessPaused(() => isCancelled || run()),
    );
    const cancel = () => {
      isCancelled = true;
      timer.cancel();
    };
    return {cancel};
  }

  runUnlessPaused(run: () => void): void {
    if (this.isPaused) {
      this.#deferredCallbacks.push(run);
    } else {
      run();
    }
  }

  resume(): void {
    this.isPaused = false;
    this.#deferredCallbacks.splice(0).forEach(run => run());
  }
}

/** The membership of one daemon with fake dependencies. */
export class FakeDaemon {
  readonly blackboard = createDaemonBlackboard();
  readonly metrics = new Metrics();
  readonly versions = new Map<VmId, number>();
  readonly clock: ProcessClock;
  readonly self: MemberRecord;
  readonly broadcaster: TreeNoticeBroadcaster;
  readonly membership: MembershipController;
  readonly #pauseDetector: PauseDetector;
  handler: DatagramHandler = () => {};
  sentBytes = 0;
  isCrashed = false;

  constructor(fleet: FakeFleet, index: number, incarnation: number) {
    this.clock = new ProcessClock(fleet.clock);
    this.self = createRecord(index, incarnation);
    const {clock, blackboard, metrics} = this;
    const random = new SeededRandom(fleet.seed + index + incarnation);
    this.#pauseDetector = new PauseDetector({clock});
    const common = {blackboard, clock, metrics, random, logger: silentLogger};
    this.broadcaster = new TreeNoticeBroadcaster({
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
      notices: this.broadcaster,
      pauseDetector: this.#pauseDetector,
      processExitCheck: {
        hasExited: async to => fleet.findDaemon(to)?.isCrashed ?? false,
      },
      onVersionSeen: (vmId, version) => this.versions.set(vmId, version),
      onPeerMessage: () => {},
    });
  }

  start(vms: readonly ListedVm[]): void {
    void this.#pauseDetector.start();
    void this.membership.start();
    this.setVmList(vms);
    this.blackboard.write('lifecycle', 'serving');
  }

  setVmList(vms: readonly ListedVm[]): void {
    const index = this.blackboard.read('vmList').index + 1;
    this.blackboard.write('vmList', {index, vms});
  }

  stateOf(other: FakeDaemon): string | undefined {
    return this.blackboard.read('members').get(other.self.vmId)?.state;
  }

  crash(): void {
    this.isCrashed = true;
    this.clock.isPaused = true;
  }
}

/** Daemons of one data centre on an in-memory network. */
export class FakeFleet {
  readonly clock = new ManualClock();
  readonly seed: number;
  readonly daemons: FakeDaemon[] = [];
  /** Whether a datagram or notice is lost. */
  isLost: (from: FakeDaemon, to: FakeDaemon) => boolean = () => false;
  /** Whether all notices are lost, so that only gossip remains. */
  losesNotices: boolean;
  /** Number of copies of each datagram that are delivered. */
  copiesPerDatagram = 1;
  /** Delay of each copy of a datagram beyond the network latency. */
  extraDelayMs: () => number = () => 0;

  constructor(size: number, seed: number, losesNotices = false) {
    this.seed = seed;
    this.losesNotices = losesNotices;
    for (let index = 0; index < size; index++) {
      this.daemons.push(new FakeDaemon(this, index, 1));
    }
    this.daemons.forEach(daemon => daemon.start(this.listVms()));
  }

  listVms(): ListedVm[] {
    return this.daemons.map(({self}) => toListedVm(self));
  }

  async run(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  /** Replaces a daemon by a restarted one. */
  restart(index: number, incarnation: number): FakeDaemon {
    this.daemons[index]!.crash();
    const daemon = new FakeDaemon(this, index, incarnation);
    this.daemons[index] = daemon;
    daemon.start(this.listVms());
    return daemon;
  }

  findDaemon({fleetPort}: FleetEndpoint): FakeDaemon | undefined {
    return this.daemons[fleetPort - BASE_PORT];
  }

  /** Whether every running daemon sees all observed daemons in a state. */
  allSee(state: string, observed = this.daemons): boolean {
    return this.daemons
      .filter(daemon => !daemon.isCrashed)
      .every(daemon =>
        observed.every(
          other => other === daemon || daemon.stateOf(other) === state,
        ),
      );
  }

  send(from: FakeDaemon, to: FleetEndpoint, message: DatagramMessage): void {
    const bytes = encodeDatagram(message);
    from.sentBytes += bytes.length + DATAGRAM_HEADER_BYTES;
    for (let copy = 0; copy < this.copiesPerDatagram; copy++) {
      const delayMs = LATENCY_MS + this.extraDelayMs();
      this.clock.setTimer(delayMs, () => this.#deliver(from, to, bytes));
    }
  }

  async notify(
    from: FakeDaemon,
    peer: FleetEndpoint,
    request: Parameters<TreeNoticeBroadcaster['handleNotify']>[0],
  ): Promise<void> {
    const to = this.findDaemon(peer);
    await this.#delay(LATENCY_MS);
    if (this.losesNotices) {
      return;
    }
    if (!to || to.isCrashed) {
      throw new Error('refused');
    }
    if (to.clock.isPaused || this.isLost(from, to)) {
      await this.#delay(LINK_TIMEOUT_MS);
      throw new Error('timeout');
    }
    await to.broadcaster.handleNotify(request);
  }

  #deliver(from: FakeDaemon, to: FleetEndpoint, bytes: Uint8Array): void {
    const receiver = this.findDaemon(to);
    if (receiver && !receiver.isCrashed && !this.isLost(from, receiver)) {
      const message = decodeDatagram(bytes)!;
      receiver.clock.runUnlessPaused(() =>
        receiver.handler(message, from.self),
      );
    }
  }

  #delay(delayMs: number): Promise<void> {
    return new Promise(resolve => this.clock.setTimer(delayMs, resolve));
  }
}

function createRecord(index: number, incarnation: number): MemberRecord {
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

function toListedVm(self: MemberRecord): ListedVm {
  const {vmId, dataCentre, service, address, fleetPort, callersPort} = self;
  const commonFields = {vmId, dataCentre, service, address};
  return {...commonFields, fleetPort, callersPort, state: 'live'};
}
