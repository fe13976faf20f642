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
  /** Initial record of this daemon. */
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
  /** Called for each report that a VM holds a version. */
  onVersionSeen: (vmId: VmId, version: number) => void;
  /** Called for each message of a peer, with the peer's manifest digest. */
  onPeerMessage: (peer: MemberRecord, manifestDigest?: Digest) => void;
}

/** Time after which members are published even if no peer is known. */
const MAX_WAIT_FOR_PEERS_MS = 3000;
const RESEND_ANNOUNCEMENT_AFTER_MS = 150;
/** Time for which the shutdown waits while the announcement is sent. */
const ANNOUNCEMENT_DURATION_MS = 300;

/**
 * Connects `MembershipCore` to datagrams, notices (broadcasts of urgent
 * changes) and the blackboard (the shared state of this daemon).
 */
export class MembershipController implements Controller {
  readonly #options: MembershipControllerOptions;
  readonly #core: MembershipCore;
  readonly #unsubscribers: Array<() => void> = [];
  readonly #startedMs: number;
  #timer?: Timer;
  #hasChanges = true;
  #isClosed = false;

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
      onChange: () => (this.#hasChanges = true),
    });
  }

  async start(): Promise<void> {
    const {blackboard, transport, pauseDetector, notices} = this.#options;
    transport.onMessage((message, from) =>
      this.#runAndPublish(() => this.#core.receive(message, from)),
    );
    this.#unsubscribers.push(
      pauseDetector.onPause(pause => this.#handlePause(pause)),
      notices.subscribe(notice => {
        if (notice.kind === 'member') {
          this.mergeRecords([notice.record]);
        }
      }),
      blackboard.observe('vmList', () => this.#applyVmList()),
      blackboard.observe('snapshot', () => this.#announceVersion()),
      blackboard.observe('lifecycle', phase => this.#handleLifecycle(phase)),
    );
    this.#applyVmList();
    this.#schedule();
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    this.#timer?.cancel();
    this.#unsubscribers.splice(0).forEach(unsubscribe => unsubscribe());
    this.#options.transport.onMessage(() => {});
  }

  /** Merges member records that a peer sent, for example at a join. */
  mergeRecords(records: readonly MemberRecord[]): void {
    this.#runAndPublish(() =>
      records.forEach(record => this.#core.mergeRecord(record)),
    );
  }

  /**
   * Announces that this daemon is leaving. It must be the first step of a
   * graceful shutdown. Resolves after the announcement was sent twice.
   */
  async announceLeaving(): Promise<void> {
    const {clock} = this.#options;
    this.#runAndPublish(() => this.#core.announceLeaving());
    clock.setTimer(RESEND_ANNOUNCEMENT_AFTER_MS, () =>
      this.#core.resendAnnouncement(),
    );
    await new Promise<void>(resolve =>
      clock.setTimer(ANNOUNCEMENT_DURATION_MS, resolve),
    );
  }

  #schedule(): void {
    if (!this.#isClosed) {
      this.#timer = this.#options.clock.setTimer(MEMBERSHIP_TICK_MS, () => {
        this.#runAndPublish(() => this.#core.tick());
        this.#schedule();
      });
    }
  }

  /** Runs a step and publishes the resulting changes. */
  #runAndPublish(step: () => void): void {
    step();
    const {blackboard} = this.#options;
    blackboard.write('contact', this.#core.contact);
    if (this.#hasChanges && this.#canPublish()) {
      this.#hasChanges = false;
      this.#publish();
    }
  }

  /**
   * Returns false just after the start while no peer is known. Otherwise this
   * daemon would consider itself the only one, and thus become a reader, which
   * reads versions from the platform.
   */
  #canPublish(): boolean {
    const ageMs = this.#options.clock.monotonicMs() - this.#startedMs;
    return this.#core.table.size > 1 || ageMs >= MAX_WAIT_FOR_PEERS_MS;
  }

  #publish(): void {
    const {blackboard} = this.#options;
    const {table} = this.#core;
    if (blackboard.read('vmList').index > 0) {
      table.removeUnlisted();
    }
    const members = table.toMemberViews();
    this.#reportMemberStates(members, blackboard.read('members'));
    blackboard.write('members', members);
    const {vms} = blackboard.read('vmList');
    blackboard.write('endpoints', groupEndpointsByService(table, vms));
  }

  #reportMemberStates(
    members: ReadonlyMap<VmId, MemberView>,
    previous: DaemonState['members'],
  ): void {
    const {logger, metrics, self} = this.#options;
    const countsByState = new Map<string, number>();
    for (const {vmId, state, incarnation} of members.values()) {
      countsByState.set(state, (countsByState.get(state) ?? 0) + 1);
      const before = previous.get(vmId)?.state;
      if (before !== state && vmId !== self.vmId) {
        logger.info('member_state', {member: vmId, state, before, incarnation});
      }
    }
    for (const state of memberStateSchema.options) {
      metrics.set('carobseam_peers', countsByState.get(state) ?? 0, {state});
    }
  }

  #applyVmList(): void {
    const {blackboard, self} = this.#options;
    const {index, vms} = blackboard.read('vmList');
    blackboard.write('remotePeers', listRemotePeers(self.dataCentre, vms));
    if (index > 0) {
      this.#runAndPublish(() => {
        this.#core.table.applyVmList(vms);
        this.#hasChanges = true;
      });
    }
  }

  #announceVersion(): void {
    this.#runAndPublish(() => {
      const snapshot = this.#options.blackboard.read('snapshot');
      const configVersion = snapshot?.version ?? 0;
      this.#core.table.updateSelf({configVersion}, false);
      this.#core.announceVersion();
      this.#hasChanges = true;
    });
  }

  #handleLifecycle(phase: DaemonState['lifecycle']): void {
    if (phase === 'serving') {
      this.#runAndPublish(() => this.#core.startServing());
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
    this.#runAndPublish(() => this.#core.handlePause());
  }
}
