import {
  createDaemonBlackboard,
  type DaemonBlackboard,
  type MemberView,
} from '@carobseam/core.blackboard';
import {ManualClock, PauseDetector, SeededRandom} from '@carobseam/core.clock';
import {Metrics} from '@carobseam/core.metrics';
import type {DataCentreName, ServiceName, VmId} from '@carobseam/core.types';
import {
  createAtMostOnce,
  type AtMostOnceComponents,
} from '@carobseam/calls.at_most_once';

/** Checks that the model can disable to show that each of them is needed. */
export interface ModelSwitches {
  delayedRestart: boolean;
  pauseCheck: boolean;
  /** Whether exited daemons count in the majority until they are back. */
  exitedDaemonsCount: boolean;
}

export const SERVICE = 'archivar' as ServiceName;
export const START_WALL_MS = 1_700_000_000_000;
const metrics = new Metrics();

/** Daemon of one VM. After a restart, the new process has lost all state. */
export class ModelDaemon {
  readonly inbox: (() => void)[] = [];
  readonly vmId: VmId;
  group = 0;
  process = 0;
  running = false;
  /** Whether the platform's list no longer has the VM. */
  dropped = false;
  pausedUntilMs = 0;
  clock!: ManualClock;
  blackboard!: DaemonBlackboard;
  components!: AtMostOnceComponents;
  #views = new Map<VmId, MemberView>();
  #peerContacts = new Map<
    VmId,
    {sinceMs: number; lagMs: number; lastMs: number}
  >();

  constructor(
    name: string,
    readonly dataCentre: DataCentreName,
    readonly random: SeededRandom,
    private clockOffsetMs: number,
    readonly switches: ModelSwitches,
  ) {
    this.vmId = name as VmId;
  }

  wallMs(nowMs: number): number {
    return START_WALL_MS + this.clockOffsetMs + nowMs;
  }

  /** Steps the wall clock to a new offset from the true time. */
  setClockOffset(clockOffsetMs: number): void {
    this.clock.shiftWall(clockOffsetMs - this.clockOffsetMs);
    this.clockOffsetMs = clockOffsetMs;
  }

  start(nowMs: number, peers: readonly ModelDaemon[]): void {
    this.process++;
    this.running = true;
    this.dropped = false;
    this.pausedUntilMs = 0;
    this.inbox.length = 0;
    this.clock = new ManualClock(this.wallMs(nowMs));
    this.blackboard = createDaemonBlackboard();
    const {clock, blackboard, random, vmId, dataCentre} = this;
    const thresholdMs = this.switches.pauseCheck ? 1000 : Infinity;
    const pauseDetector = new PauseDetector({clock, thresholdMs});
    void pauseDetector.start();
    const common = {vmId, dataCentre, blackboard, clock, random};
    this.components = createAtMostOnce({...common, pauseDetector, metrics});
    const delayed = this.switches.delayedRestart || this.process === 1;
    const servingSinceWallMs = this.wallMs(delayed ? nowMs : 0);
    this.#views = new Map([[vmId, this.#record(servingSinceWallMs)]]);
    this.#peerContacts.clear();
    blackboard.write('lifecycle', 'serving');
    blackboard.write('members', new Map(this.#views));
    this.#updateContact(nowMs, peers);
  }

  isActive(nowMs: number): boolean {
    return this.running && nowMs >= this.pausedUntilMs;
  }

  /** This daemon's own record, as its peers receive it. */
  get self(): MemberView {
    return this.blackboard.read('members').get(this.vmId)!;
  }

  /** One step of the membership protocol under the assumptions of README.md. */
  observe(nowMs: number, peers: readonly ModelDaemon[]): void {
    let changed = false;
    for (const peer of peers) {
      if (peer !== this) {
        changed = this.#observePeer(peer, nowMs) || changed;
      }
    }
    if (changed) {
      this.blackboard.write('members', new Map(this.#views));
    }
    this.#updateContact(nowMs, peers);
  }

  #observePeer(peer: ModelDaemon, nowMs: number): boolean {
    const view = this.#views.get(peer.vmId);
    const contact = this.#peerContacts.get(peer.vmId);
    const sameGroup = peer.group === this.group;
    if (peer.isActive(nowMs) && sameGroup) {
      const lagMs = this.random.nextInt(900);
      const since = contact ?? {sinceMs: nowMs, lagMs, lastMs: nowMs};
      if (nowMs - since.lastMs > 100) {
        since.sinceMs = nowMs;
      }
      since.lastMs = nowMs;
      this.#peerContacts.set(peer.vmId, since);
      const record = peer.self;
      const isCurrent =
        view?.state === 'alive' &&
        view.servingSinceWallMs === record.servingSinceWallMs;
      if (isCurrent || nowMs - since.sinceMs < since.lagMs) {
        return false;
      }
      this.#views.set(peer.vmId, record);
      return true;
    }
    if (peer.dropped) {
      return this.#views.delete(peer.vmId);
    }
    const silentMs = nowMs - (contact?.lastMs ?? 0);
    const hasExited = !peer.running && sameGroup && silentMs > 300;
    if (!view || view.goneProved || (!hasExited && silentMs < 2500)) {
      return false;
    }
    const deadSinceWallMs = view.deadSinceWallMs ?? this.clock.wallMs();
    if (view.state === 'dead' && !hasExited) {
      return false;
    }
    const dead = {...view, state: 'dead' as const, deadSinceWallMs};
    this.#views.set(peer.vmId, {...dead, goneProved: hasExited});
    return true;
  }

  #updateContact(nowMs: number, peers: readonly ModelDaemon[]): void {
    const listed = peers.filter(peer => !peer.dropped).length;
    const recent = [...this.#peerContacts.values()].filter(
      ({lastMs}) => nowMs - lastMs < 2000,
    );
    const exited = [...this.#views.values()].filter(view => view.goneProved);
    const total = this.switches.exitedDaemonsCount
      ? listed
      : listed - exited.length;
    const majority = (recent.length + 1) * 2 > total;
    const before = this.blackboard.read('contact');
    if (before.majority !== majority) {
      const restored = this.switches.delayedRestart || before.majority;
      const majoritySinceWallMs = restored ? this.clock.wallMs() : 0;
      this.blackboard.write('contact', {majority, majoritySinceWallMs});
    }
  }

  #record(servingSinceWallMs: number): MemberView {
    return {
      vmId: this.vmId,
      dataCentre: this.dataCentre,
      service: SERVICE,
      address: '127.0.0.1',
      fleetPort: 1,
      callersPort: 2,
      incarnation: this.process,
      state: 'alive',
      servingSinceWallMs,
      configVersion: 0,
    };
  }
}
