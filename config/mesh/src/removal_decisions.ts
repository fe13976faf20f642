import type {Clock, DataCentreName, Timer} from '@carobseam/core.types';
import type {MeshWorker, WorkerId} from './mesh_worker.js';
import type {SourceRevision} from './source_revision.js';

const REGISTRATION_MS = 2000; // workers whose entries expired in an outage of the users' store register again within about 2 s
const READ_DELAY_MS = 200; // until such an entry is read; batches are shorter then
const MIN_OUTAGE_MS = 700; // no entry can expire during a shorter outage
const SEND_MARGIN_MS = 300; // for requests that are already on their way to the worker, over another relay

/**
 * How this process learned that an entry is missing: from the source, as a
 * removal that a peer has accepted, or because the full state of a peer lacks
 * it. `newPeer` has followed the source for so short a time that it may lack
 * entries that expired in an outage.
 */
export type RemovalOrigin = 'source' | 'peerChange' | 'peerState' | 'newPeer';

/** A removal that is held back. */
export interface HeldRemoval {
  revision: SourceRevision;
  /**
   * The removal happened after this revision. Peers that take over the state,
   * which still has the worker, must read all later changes themselves.
   */
  precedingRevision: SourceRevision;
}

/** Options of `RemovalDecisions`. */
export interface RemovalDecisionsOptions {
  clock: Clock;
  /** Data centre of this process; it may be cut off together with its workers. */
  dataCentre: DataCentreName;
  /**
   * Time after the return of the source by which workers that are gone must not
   * be used any more, in ms.
   */
  contactMs: number;
  /** Called when removals that were held back are due. */
  onDue: () => void;
}

/**
 * Decides when a worker whose entry is missing counts as gone: at once, or after
 * an outage of the source, in which the entries of running workers may have
 * expired, when they have had time to register again.
 */
export class RemovalDecisions {
  readonly #options: RemovalDecisionsOptions;
  readonly #held = new Map<WorkerId, HeldRemoval>();
  /** Since when the source may be unavailable; undefined while it responds. */
  #lostSinceMs?: number;
  /** When the source first responded again in the present outage. */
  #respondedMs?: number;
  /** When the source first responded after its last outage. */
  #returnedMs = -Infinity;
  /** The source returned from its last outage no earlier than this. */
  #returnedAfterMs = -Infinity;
  /** Workers that run have registered again by this time after the last outage. */
  #registeredByMs = -Infinity;
  #firstStateMs = Infinity;
  #lastStateMs = -Infinity;
  #timer?: Timer;

  constructor(options: RemovalDecisionsOptions) {
    this.#options = options;
  }

  /**
   * Whether this process has followed the source long enough for all running
   * workers to be registered; its state then lacks no entry that expired before.
   */
  get isEstablished(): boolean {
    return this.#nowMs() >= this.#firstStateMs + REGISTRATION_MS;
  }

  /** Records that a state was received, from the source or from a peer. */
  recordState(): void {
    this.#lastStateMs = this.#nowMs();
    this.#firstStateMs = Math.min(this.#firstStateMs, this.#lastStateMs);
  }

  /**
   * Records that a call to the source failed.
   *
   * @param unavailableMs a time at which the source was unavailable or, for the
   *     first failure, since when it may be; on the monotonic clock, in ms.
   */
  recordFailure(unavailableMs: number): void {
    this.#lostSinceMs ??= unavailableMs;
    this.#respondedMs = undefined;
    this.#returnedAfterMs = Math.max(this.#returnedAfterMs, unavailableMs);
  }

  /** Records that the source responds again; its state may still be missing. */
  recordResponse(): void {
    if (this.#lostSinceMs !== undefined) {
      this.#respondedMs ??= this.#nowMs();
    }
  }

  /**
   * Ends the outage, if there is one, before the first state after it is applied.
   *
   * @return duration of the outage in ms; undefined if there was none.
   */
  endOutage(): number | undefined {
    if (this.#lostSinceMs === undefined) {
      return undefined;
    }
    this.#returnedMs = this.#respondedMs ?? this.#nowMs();
    const outageMs = this.#returnedMs - this.#lostSinceMs;
    this.#lostSinceMs = undefined;
    this.#respondedMs = undefined;
    if (outageMs >= MIN_OUTAGE_MS) {
      this.#registeredByMs = this.#returnedMs + REGISTRATION_MS + READ_DELAY_MS;
    }
    this.#schedule();
    return outageMs;
  }

  /** Records that the source was restored from a copy since the last state. */
  recordRestore(): void {
    const isReturnKnown = this.#returnedMs > this.#lastStateMs;
    const returnedMs = isReturnKnown ? this.#returnedMs : this.#nowMs();
    this.#returnedAfterMs = Math.max(this.#returnedAfterMs, this.#lastStateMs);
    this.#registeredByMs = returnedMs + REGISTRATION_MS + READ_DELAY_MS;
    this.#schedule();
  }

  /** Whether a worker is kept for now, although its entry is missing. */
  keeps(worker: MeshWorker, origin: RemovalOrigin): boolean {
    if (worker.isLeaving || this.#nowMs() >= this.#dueMs()) {
      return false;
    }
    const {dataCentre} = this.#options;
    const isHeldByOrigin: Record<RemovalOrigin, boolean> = {
      source: true,
      peerChange: false,
      // The peer may be outside of a cut that this relay shares with the worker.
      peerState: worker.dataCentre === dataCentre,
      newPeer: true,
    };
    return isHeldByOrigin[origin];
  }

  /** Holds a removal back. */
  hold(id: WorkerId, removal: HeldRemoval): void {
    const earlier = this.#held.get(id)?.precedingRevision ?? Infinity;
    const precedingRevision = Math.min(
      earlier,
      removal.precedingRevision,
    ) as SourceRevision;
    this.#held.set(id, {...removal, precedingRevision});
    this.#schedule();
  }

  /** Whether any removal is held back. */
  get hasHeld(): boolean {
    return this.#held.size > 0;
  }

  isHeld(id: WorkerId): boolean {
    return this.#held.has(id);
  }

  /** Ends the hold of a worker's removal, if there is one. */
  release(id: WorkerId): void {
    this.#held.delete(id);
  }

  /** A revision before all removals that are held back; Infinity without any. */
  precedingRevision(): number {
    const held = [...this.#held.values()];
    return Math.min(...held.map(removal => removal.precedingRevision));
  }

  /** Ends the hold of the removals that are due and returns them. */
  takeDue(): Array<[id: WorkerId, removal: HeldRemoval]> {
    if (this.#nowMs() < this.#dueMs()) {
      return [];
    }
    const due = [...this.#held];
    this.#held.clear();
    return due;
  }

  /** When removals that are held back are due. */
  #dueMs(): number {
    if (this.#lostSinceMs !== undefined) {
      return Infinity;
    }
    const lastUseMs =
      this.#returnedAfterMs + this.#options.contactMs - SEND_MARGIN_MS;
    return Math.min(this.#registeredByMs, lastUseMs);
  }

  #schedule(): void {
    this.#timer?.cancel();
    this.#timer = undefined;
    const dueMs = this.#dueMs();
    if (this.#held.size > 0 && dueMs < Infinity) {
      const delayMs = Math.max(0, dueMs - this.#nowMs());
      this.#timer = this.#options.clock.setTimer(delayMs, () =>
        this.#handleTimer(dueMs),
      );
    }
  }

  #handleTimer(dueMs: number): void {
    if (this.#nowMs() < dueMs) {
      this.#schedule(); // timers may run slightly early
    } else {
      this.#options.onDue();
    }
  }

  #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }
}
