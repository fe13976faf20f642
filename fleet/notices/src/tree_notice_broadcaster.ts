import type {DaemonBlackboard, MemberView} from '@carobseam/core.blackboard';
import {describeError} from '@carobseam/core.errors';
import type {Logger} from '@carobseam/core.logger';
import type {
  Clock,
  DataCentreName,
  RandomSource,
  Timer,
  VmId,
} from '@carobseam/core.types';
import {TreeBroadcaster} from '@carobseam/fleet.dissemination';
import {
  MAX_NOTICES_PER_REQUEST,
  type IdentifiedNotice,
  type NotifyRequest,
  type PeerLink,
} from '@carobseam/fleet.link';
import type {Notice, NoticeBroadcaster} from '@carobseam/fleet.types';
import type {
  NoticeListener,
  NoticeSubscription,
} from './notice_subscription.js';

/** Options of a `TreeNoticeBroadcaster`. */
export interface TreeNoticeBroadcasterOptions {
  vmId: VmId;
  dataCentre: DataCentreName;
  blackboard: DaemonBlackboard;
  link: Pick<PeerLink, 'notify'>;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

/**
 * A neighbour that has not confirmed a notice after this time is bypassed: its
 * own neighbours in the tree get the notice directly. Shorter than the ping
 * timeout of a link, 1.5 s, so that the notice of a leaving daemon passes three
 * unresponsive daemons in a row within its limit of 2 s.
 */
const BYPASS_MS = 600;
/** Notices that arrive within this time are sent together. */
const BATCH_WINDOW_MS = 50;
/** Number of recent notice ids that are kept to suppress duplicates. */
const MAX_SEEN_IDS = 20_000;
const RANDOM_BOUND = 2 ** 31;

interface QueuedNotice extends IdentifiedNotice {
  /** VM of the daemon that sent the notice to this one. */
  readonly senderId: string;
}

/**
 * Broadcasts notices to the daemons of the data centre along the broadcast tree,
 * and forwards each notice of a peer once.
 */
export class TreeNoticeBroadcaster
  implements NoticeBroadcaster, NoticeSubscription
{
  readonly #options: TreeNoticeBroadcasterOptions;
  readonly #tree: TreeBroadcaster;
  readonly #listeners = new Set<NoticeListener>();
  readonly #seenIds = new Set<string>();
  readonly #idPrefix: string;
  readonly #queue: QueuedNotice[] = [];
  #timer?: Timer;
  #counter = 0;

  constructor(options: TreeNoticeBroadcasterOptions) {
    this.#options = options;
    this.#tree = new TreeBroadcaster(options);
    // Distinguishes the notices of this process from those that were sent before a restart.
    this.#idPrefix = options.random.nextInt(RANDOM_BOUND).toString(36);
  }

  subscribe(listener: NoticeListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Sends a notice to the other daemons; listeners of this daemon do not receive it. */
  broadcast(notice: Notice): void {
    const noticeId = this.#createNoticeId(notice);
    if (this.#addSeenId(noticeId)) {
      this.#enqueue({noticeId, notice}, this.#options.vmId);
    }
  }

  /** Handles notices that a peer sent: reports them to the listeners and forwards them. */
  async handleNotify(request: NotifyRequest): Promise<void> {
    const unseen = request.notices.filter(({noticeId}) =>
      this.#addSeenId(noticeId),
    );
    for (const identified of unseen) {
      this.#listeners.forEach(listener => listener(identified.notice));
      this.#enqueue(identified, request.senderId);
    }
  }

  /** Sends the queued notices at once. */
  close(): void {
    this.#timer?.cancel();
    this.#flush();
  }

  /**
   * Notices about members get the same id on every daemon, because several
   * daemons may report the same change and it should be broadcast once.
   */
  #createNoticeId(notice: Notice): string {
    if (notice.kind === 'member') {
      const {vmId, incarnation, state} = notice.record;
      return `${vmId}/${incarnation}/${state}`;
    }
    return `${this.#options.vmId}/${this.#idPrefix}/${this.#counter++}`;
  }

  #addSeenId(noticeId: string): boolean {
    if (this.#seenIds.has(noticeId)) {
      return false;
    }
    this.#seenIds.add(noticeId);
    if (this.#seenIds.size > MAX_SEEN_IDS) {
      const [oldest] = this.#seenIds;
      this.#seenIds.delete(oldest!);
    }
    return true;
  }

  /**
   * The first notice is sent at once; those of the following window are sent
   * together, which limits the number of messages when many daemons start.
   */
  #enqueue(identified: IdentifiedNotice, senderId: string): void {
    this.#queue.push({...identified, senderId});
    if (!this.#timer) {
      this.#flush();
      this.#startWindow();
    }
  }

  #startWindow(): void {
    this.#timer = this.#options.clock.setTimer(BATCH_WINDOW_MS, () => {
      this.#timer = undefined;
      if (this.#queue.length > 0) {
        this.#flush();
        this.#startWindow();
      }
    });
  }

  #flush(): void {
    const batch = this.#queue.splice(0, MAX_NOTICES_PER_REQUEST);
    if (batch.length > 0) {
      this.#tree.broadcast(peer => this.#sendBatch(peer, batch));
    }
  }

  async #sendBatch(
    peer: MemberView,
    batch: readonly QueuedNotice[],
  ): Promise<void> {
    const notices = batch
      .filter(({senderId}) => senderId !== peer.vmId)
      .map(({noticeId, notice}) => ({noticeId, notice}));
    if (notices.length > 0) {
      await this.#send(peer, {senderId: this.#options.vmId, notices});
    }
  }

  /** Rejects when the peer does not confirm in time, so that the tree bypasses it. */
  async #send(peer: MemberView, request: NotifyRequest): Promise<void> {
    const {link, clock, logger} = this.#options;
    let timeOut!: () => void;
    const timedOut = new Promise<never>((_, reject) => {
      timeOut = () =>
        reject(new Error('the peer did not confirm the notice in time'));
    });
    const timer = clock.setTimer(BYPASS_MS, timeOut);
    try {
      await Promise.race([link.notify(peer, request), timedOut]);
    } catch (error) {
      logger.debug('notice_not_delivered', {
        peer: peer.vmId,
        error: describeError(error),
      });
      throw error;
    } finally {
      timer.cancel();
    }
  }
}
