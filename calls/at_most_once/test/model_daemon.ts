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

/** Checks that the model can leave out, to show that they are needed. */
export interface ModelSwitches {
  delayedRestart: boolean;
  pauseCheck: boolean;
  /** Whether a process that is gone counts in the majority until it is back. */
  goneCounts: boolean;
}

export const SERVICE = 'archivar' as ServiceName;
export const START_WALL_MS = 1_700_000_000_000;
const metrics = new Metrics();

/** A VM with its daemon; its processes start with empty memory. */
export class ModelDaemon {
  readonly inbox: (() => void)[] = [];
  readonly vmId: VmId;
  group = 0;
  process = 0;
  running = false;
  /** Whether the platform's list dropped the VM. */
  dropped = false;
  pausedUntilMs = 0;
  clock!: ManualClock;
  blackboard!: DaemonBlackboard;
  parts!: AtMostOnceComponents;
  #views = new Map<VmId, MemberView>();
  #heard = new Map<VmId, {sinceMs: number; lagMs: number; lastMs: number}>();

  constructor(
    name: string,
    readonly dataCentre: DataCentreName,
    readonly random: SeededRandom,
    private driftMs: number,
    readonly switches: ModelSwitches,
  ) {
    this.vmId = name as VmId;
  }

  wallMs(nowMs: number): number {
    return START_WALL_MS + this.driftMs + nowMs;
  }

  /** Steps the wall clock; `driftMs` is its new deviation. */
  setDrift(driftMs: number): void {
    this.clock.shiftWall(driftMs - this.driftMs);
    this.driftMs = driftMs;
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
    this.parts = createAtMostOnce({...common, pauseDetector, metrics});
    const delayed = this.switches.delayedRestart || this.process === 1;
    const servingSinceWallMs = this.wallMs(delayed ? nowMs : 0);
    this.#views = new Map([[vmId, this.#record(servingSinceWallMs)]]);
    this.#heard.clear();
    blackboard.write('lifecycle', 'serving');
    blackboard.write('members', new Map(this.#views));
    this.#updateContact(nowMs, peers);
  }

  isActive(nowMs: number): boolean {
    return this.running && nowMs >= this.pausedUntilMs;
  }

  /** Own record as the peers receive it. */
  get self(): MemberView {
    return this.blackboard.read('members').get(this.vmId)!;
  }

  /** One step of membership within the assumptions of README.md. */
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
    const heard = this.#heard.get(peer.vmId);
    const sameGroup = peer.group === this.group;
    if (peer.isActive(nowMs) && sameGroup) {
      const lagMs = this.random.nextInt(900);
      const since = heard ?? {sinceMs: nowMs, lagMs, lastMs: nowMs};
      if (nowMs - since.lastMs > 100) {
        since.sinceMs = nowMs;
      }
      since.lastMs = nowMs;
      this.#heard.set(peer.vmId, since);
      const record = peer.self;
      const known =
        view?.state === 'alive' &&
        view.servingSinceWallMs === record.servingSinceWallMs;
      if (known || nowMs - since.sinceMs < since.lagMs) {
        return false;
      }
      this.#views.set(peer.vmId, record);
      return true;
    }
    if (peer.dropped) {
      return this.#views.delete(peer.vmId);
    }
    const silentMs = nowMs - (heard?.lastMs ?? 0);
    const gone = !peer.running && sameGroup && silentMs > 300;
    if (!view || view.goneProved || (!gone && silentMs < 2500)) {
      return false;
    }
    const deadSinceWallMs = view.deadSinceWallMs ?? this.clock.wallMs();
    if (view.state === 'dead' && !gone) {
      return false;
    }
    const dead = {...view, state: 'dead' as const, deadSinceWallMs};
    this.#views.set(peer.vmId, {...dead, goneProved: gone});
    return true;
  }

  #updateContact(nowMs: number, peers: readonly ModelDaemon[]): void {
    const known = peers.filter(peer => !peer.dropped).length;
    const recent = [...this.#heard.values()].filter(
      ({lastMs}) => nowMs - lastMs < 2000,
    );
    const gone = [...this.#views.values()].filter(view => view.goneProved);
    const total = this.switches.goneCounts ? known : known - gone.length;
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
