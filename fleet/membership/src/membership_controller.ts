import type {
  DaemonBlackboard,
  DaemonState,
  MemberView,
} from '@carobseam/core.blackboard';
import type {Pause, PauseDetector} from '@carobseam/core.clock';
import type {Logger} from '@carobseam/core.logger';
import type {Metrics} from '@carobseam/core.metrics';
import type {
  Clock,
  Controller,
  Digest,
  RandomSource,
  Timer,
  VmId,
} from '@carobseam/core.types';
import type {DatagramTransport} from '@carobseam/fleet.datagram';
import type {NoticeSubscription} from '@carobseam/fleet.notices';
import {
  memberStateSchema,
  type MemberRecord,
  type NoticeBroadcaster,
} from '@carobseam/fleet.types';
import {groupEndpointsByService, listRemotePeers} from './endpoint_view.js';
import type {ProcessExitCheck} from './process_exit_check.js';
import {MEMBERSHIP_TICK_MS, MembershipCore} from './membership_core.js';

/** Options of a `MembershipController`. */
export interface MembershipControllerOptions {
  /** Record with which this daemon starts. */
  self: MemberRecord;
  blackboard: DaemonBlackboard;
  transport: DatagramTransport;
  notices: NoticeBroadcaster & NoticeSubscription;
  pauseDetector: PauseDetector;
  processExitCheck: ProcessExitCheck;
  clock: Clock;
  random: RandomSource;
  metrics: Metrics;
  logger: Logger;
  /** Called for each version that a VM was seen to hold. */
  onVersionSeen: (vmId: VmId, version: number) => void;
  /** Called for each message of a peer, with the digest of its manifest. */
  onPeerMessage: (peer: MemberRecord, manifestDigest?: Digest) => void;
}

/** Without any known peer, members are published after this time. */
const ALONE_MS = 3000;
const REPEAT_ANNOUNCEMENT_MS = 150;
/** Time for the announcement to get out before the shutdown goes on. */
const ANNOUNCEMENT_MS = 300;

/** Connects the membership core to datagrams, notices and the blackboard. */
export class MembershipController implements Controller {
  readonly #options: MembershipControllerOptions;
  readonly #core: MembershipCore;
  readonly #subscriptions: Array<() => void> = [];
  readonly #startedMs: number;
  #timer?: Timer;
  #changed = true;
  #closed = false;

  constructor(options: MembershipControllerOptions) {
    const {blackboard, transport, pauseDetector, notices} = options;
    this.#options = options;
    this.#startedMs = options.clock.monotonicMs();
    this.#core = new MembershipCore({
      ...options,
      checkPause: () => void pauseDetector.check(),
      send: (to, message) => transport.send(to, message),
      getHeldVersion: () => {
        const snapshot = blackboard.read('snapshot');
        return {
          version: snapshot?.version ?? 0,
          manifestDigest: snapshot?.manifestDigest,
        };
      },
      onUrgentUpdate: record => notices.broadcast({kind: 'member', record}),
      onChange: () => (this.#changed = true),
    });
  }

  async start(): Promise<void> {
    const {blackboard, transport, pauseDetector, notices} = this.#options;
    transport.onMessage((message, from) =>
      this.#run(() => this.#core.receive(message, from)),
    );
    this.#subscriptions.push(
      pauseDetector.onPause(pause => this.#handlePause(pause)),
      notices.subscribe(notice => {
        if (notice.kind === 'member') {
          this.mergeRecords([notice.record]);
        }
      }),
      blackboard.observe('vmList', () => this.#applyList()),
      blackboard.observe('snapshot', () => this.#announceVersion()),
      blackboard.observe('lifecycle', phase => this.#handleLifecycle(phase)),
    );
    this.#applyList();
    this.#schedule();
  }

  async close(): Promise<void> {
    this.#closed = true;
    this.#timer?.cancel();
    this.#subscriptions.splice(0).forEach(end => end());
    this.#options.transport.onMessage(() => {});
  }

  /** Takes over member records that a peer sent, as at a join. */
  mergeRecords(records: readonly MemberRecord[]): void {
    this.#run(() => records.forEach(record => this.#core.mergeRecord(record)));
  }

  /**
   * Announces that this daemon leaves; to be called first in a graceful
   * shutdown. Resolves when the announcement has been sent twice.
   */
  async announceLeaving(): Promise<void> {
    const {clock} = this.#options;
    this.#run(() => this.#core.announceLeaving());
    clock.setTimer(REPEAT_ANNOUNCEMENT_MS, () =>
      this.#core.resendAnnouncement(),
    );
    await new Promise<void>(resolve =>
      clock.setTimer(ANNOUNCEMENT_MS, resolve),
    );
  }

  #schedule(): void {
    if (!this.#closed) {
      this.#timer = this.#options.clock.setTimer(MEMBERSHIP_TICK_MS, () => {
        this.#run(() => this.#core.tick());
        this.#schedule();
      });
    }
  }

  /** Runs a step and publishes what it changed. */
  #run(step: () => void): void {
    step();
    const {blackboard} = this.#options;
    blackboard.write('contact', this.#core.contact);
    if (this.#changed && this.#hasView()) {
      this.#changed = false;
      this.#publish();
    }
  }

  /**
   * False right after a start without a known peer, so that this daemon does
   * not take itself for the only one, and thus for a reader.
   */
  #hasView(): boolean {
    const ageMs = this.#options.clock.monotonicMs() - this.#startedMs;
    return this.#core.table.size > 1 || ageMs >= ALONE_MS;
  }

  #publish(): void {
    const {blackboard} = this.#options;
    const {table} = this.#core;
    if (blackboard.read('vmList').index > 0) {
      table.removeUnlisted();
    }
    const members = table.toMemberViews();
    this.#report(members, blackboard.read('members'));
    blackboard.write('members', members);
    const {vms} = blackboard.read('vmList');
    blackboard.write('endpoints', groupEndpointsByService(table, vms));
  }

  #report(
    members: ReadonlyMap<VmId, MemberView>,
    previous: DaemonState['members'],
  ): void {
    const {logger, metrics, self} = this.#options;
    const counts = new Map<string, number>();
    for (const {vmId, state, incarnation} of members.values()) {
      counts.set(state, (counts.get(state) ?? 0) + 1);
      const before = previous.get(vmId)?.state;
      if (before !== state && vmId !== self.vmId) {
        logger.info('member_state', {member: vmId, state, before, incarnation});
      }
    }
    for (const state of memberStateSchema.options) {
      metrics.set('carobseam_peers', counts.get(state) ?? 0, {state});
    }
  }

  #applyList(): void {
    const {blackboard, self} = this.#options;
    const {index, vms} = blackboard.read('vmList');
    blackboard.write('remotePeers', listRemotePeers(self.dataCentre, vms));
    if (index > 0) {
      this.#run(() => {
        this.#core.table.applyVmList(vms);
        this.#changed = true;
      });
    }
  }

  #announceVersion(): void {
    this.#run(() => {
      const snapshot = this.#options.blackboard.read('snapshot');
      const configVersion = snapshot?.version ?? 0;
      this.#core.table.updateSelf({configVersion}, false);
      this.#core.announceVersion();
      this.#changed = true;
    });
  }

  #handleLifecycle(phase: DaemonState['lifecycle']): void {
    if (phase === 'serving') {
      this.#run(() => this.#core.startServing());
    }
  }

  #handlePause(pause: Pause): void {
    const {blackboard, metrics, logger} = this.#options;
    metrics.increment('carobseam_process_pauses_total');
    logger.warn('process_paused', {durationMs: Math.round(pause.durationMs)});
    blackboard.write('lastResume', {
      monotonicMs: pause.resumedMonotonicMs,
      wallMs: pause.resumedWallMs,
    });
    this.#run(() => this.#core.handlePause());
  }
}
