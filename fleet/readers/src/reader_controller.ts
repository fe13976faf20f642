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
  contact: PeerActivity;
  clock: Clock;
  random: RandomSource;
  metrics: Metrics;
  logger: Logger;
  /** Contacts some peer, so that silence is not taken for isolation. */
  contactPeer: () => void;
}

type Members = ReadonlyMap<VmId, MemberView>;

const EVALUATION_INTERVAL_MS = 500;
const MAX_SILENT_MS = 3000;
/** Leaves a peer 1 s to respond before this daemon reads by itself. */
const CONTACT_AFTER_MS = 2000;
const MIN_SOLO_INTERVAL_MS = 500;
/** The watch response, the packs and both new watches of one change. */
const READER_BURST = 5;

/** Decides how this daemon uses the platform, and starts and ends watches. */
export class ReaderController implements Controller {
  readonly #weights: RendezvousWeights = new Map();
  readonly #options: ReaderControllerOptions;
  readonly #versionLoop: WatchLoop;
  readonly #vmListLoop: WatchLoop;
  #timer?: Timer;
  #chosen?: {members: Members; readers: readonly VmId[]};
  #soloIntervalMs = MIN_SOLO_INTERVAL_MS;
  #stopObserving: Array<() => void> = [];
  #closed = false;

  constructor(options: ReaderControllerOptions) {
    this.#options = options;
    const common = {...options, soloIntervalMs: () => this.#soloIntervalMs};
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
    const {clock, contact, contactPeer} = this.#options;
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
    const {blackboard, metrics, contact} = this.#options;
    const {index} = blackboard.read('vmList');
    const reader = this.#isReader();
    const silent = contact.sinceLastMessageMs() >= MAX_SILENT_MS;
    this.#setShare(reader);
    blackboard.write('reader', reader);
    metrics.set('carobseam_platform_reader', reader ? 1 : 0);
    metrics.set('carobseam_vm_list_index', index);
    this.#versionLoop.setMode(modeOf(reader, silent));
    this.#vmListLoop.setMode(modeOf(reader, silent || index === 0));
  }

  /** Without a known fleet, every daemon would take itself for a reader. */
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

  #setShare(reader: boolean): void {
    const {blackboard, readerCount, rateLimiter: budget} = this.#options;
    const {fleetCallsPerSecond, fleetSizeHint} = this.#options;
    const shares = computeCallRates({
      fleetCallsPerSecond,
      fleetSizeHint,
      readersPerDataCentre: readerCount,
      vmList: blackboard.read('vmList'),
    });
    this.#soloIntervalMs = Math.max(MIN_SOLO_INTERVAL_MS, 1000 / shares.solo);
    if (reader) {
      budget.setRate(shares.reader, READER_BURST);
    } else {
      budget.setRate(shares.solo, 1);
    }
  }
}

function modeOf(reader: boolean, solo: boolean): ReadMode {
  return reader ? 'reader' : solo ? 'solo' : 'idle';
}
