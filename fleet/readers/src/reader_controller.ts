import type {DaemonBlackboard, MemberView} from '@carobseam/core.blackboard';
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
import type {CallRateLimiter} from './call_rate_limiter.js';
import {computeCallRates} from './compute_call_rates.js';
import type {RendezvousWeights} from '@carobseam/fleet.types';
import {chooseReaders} from './choose_readers.js';
import type {PeerActivity} from './peer_activity.js';
import {WatchLoop, type ReadMode, type WatchStep} from './watch_loop.js';

/** Options of a `ReaderController`. */
export interface ReaderControllerOptions {
  vmId: VmId;
  dataCentre: DataCentreName;
  readerCount: number;
  /** Calls per second that the platform accepts from all daemons. */
  fleetCallsPerSecond: number;
  fleetSizeHint: number;
  blackboard: DaemonBlackboard;
  versionWatch: WatchStep;
  vmListWatch: WatchStep;
  rateLimiter: CallRateLimiter;
  peerActivity: PeerActivity;
  clock: Clock;
  random: RandomSource;
  metrics: Metrics;
  logger: Logger;
  /** Sends a request to some peer, so that a quiet period is not mistaken for isolation. */
  contactPeer: () => void;
}

type Members = ReadonlyMap<VmId, MemberView>;

const EVALUATION_INTERVAL_MS = 500;
/** After this time without a message of any peer, this daemon considers itself isolated and polls the platform. */
const ISOLATION_MS = 3000;
/** Leaves a peer 1 s to respond before this daemon polls the platform itself. */
const CONTACT_AFTER_MS = 2000;
const MIN_POLL_INTERVAL_MS = 500;
/** Calls for one change: the watch response, the packs and both new watches. */
const READER_BURST = 5;

/**
 * Decides whether this daemon watches the platform for its data centre, polls it
 * for itself or does neither (see `ReadMode`), and starts and stops the two
 * `WatchLoop`s accordingly.
 */
export class ReaderController implements Controller {
  readonly #weights: RendezvousWeights = new Map();
  readonly #options: ReaderControllerOptions;
  readonly #versionLoop: WatchLoop;
  readonly #vmListLoop: WatchLoop;
  #timer?: Timer;
  #chosen?: {members: Members; readers: readonly VmId[]};
  #pollIntervalMs = MIN_POLL_INTERVAL_MS;
  #stopObserving: Array<() => void> = [];
  #closed = false;

  constructor(options: ReaderControllerOptions) {
    this.#options = options;
    const common = {...options, pollIntervalMs: () => this.#pollIntervalMs};
    this.#versionLoop = new WatchLoop({
      ...common,
      name: 'manifest',
      watch: options.versionWatch,
    });
    this.#vmListLoop = new WatchLoop({
      ...common,
      name: 'vm_list',
      watch: options.vmListWatch,
    });
  }

  async start(): Promise<void> {
    const {blackboard} = this.#options;
    const evaluate = () => this.#evaluate();
    this.#stopObserving = [
      blackboard.observe('members', evaluate),
      blackboard.observe('vmList', evaluate),
    ];
    this.#tick();
  }

  async close(): Promise<void> {
    this.#closed = true;
    this.#timer?.cancel();
    this.#stopObserving.forEach(stop => stop());
    await Promise.all([this.#versionLoop.close(), this.#vmListLoop.close()]);
  }

  #tick(): void {
    const {clock, peerActivity: contact, contactPeer} = this.#options;
    this.#evaluate();
    if (contact.sinceLastMessageMs() >= CONTACT_AFTER_MS) {
      contactPeer();
    }
    this.#timer = clock.setTimer(EVALUATION_INTERVAL_MS, () => this.#tick());
  }

  #evaluate(): void {
    if (this.#closed) {
      return;
    }
    const {blackboard, metrics, peerActivity: contact} = this.#options;
    const {index} = blackboard.read('vmList');
    const reader = this.#isReader();
    const isIsolated = contact.sinceLastMessageMs() >= ISOLATION_MS;
    this.#updateRateLimit(reader);
    blackboard.write('reader', reader);
    metrics.set('carobseam_platform_reader', reader ? 1 : 0);
    metrics.set('carobseam_vm_list_index', index);
    this.#versionLoop.setMode(modeOf(reader, isIsolated));
    this.#vmListLoop.setMode(modeOf(reader, isIsolated || index === 0));
  }

  /**
   * Never true while neither the list of VMs nor another member is known:
   * every daemon would then choose itself as a reader.
   */
  #isReader(): boolean {
    const {blackboard, vmId} = this.#options;
    const members = blackboard.read('members');
    const isFleetKnown =
      blackboard.read('vmList').index > 0 || members.size > 1;
    return isFleetKnown && this.#readersOf(members).includes(vmId);
  }

  #readersOf(members: Members): readonly VmId[] {
    if (this.#chosen?.members !== members) {
      const {dataCentre, readerCount} = this.#options;
      const readers = chooseReaders({
        weights: this.#weights,
        dataCentre,
        members: members.values(),
        readerCount,
      });
      this.#chosen = {members, readers};
    }
    return this.#chosen.readers;
  }

  #updateRateLimit(reader: boolean): void {
    const {blackboard, readerCount, rateLimiter} = this.#options;
    const {fleetCallsPerSecond, fleetSizeHint} = this.#options;
    const rates = computeCallRates({
      fleetCallsPerSecond,
      fleetSizeHint,
      readersPerDataCentre: readerCount,
      vmList: blackboard.read('vmList'),
    });
    this.#pollIntervalMs = Math.max(MIN_POLL_INTERVAL_MS, 1000 / rates.poller);
    if (reader) {
      rateLimiter.setRate(rates.reader, READER_BURST);
    } else {
      rateLimiter.setRate(rates.poller, 1);
    }
  }
}

function modeOf(reader: boolean, polls: boolean): ReadMode {
  return reader ? 'reader' : polls ? 'poller' : 'idle';
}
