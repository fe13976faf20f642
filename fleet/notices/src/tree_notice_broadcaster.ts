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

/** Options of a `NoticeRelay`. */
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
 * A neighbour that has not confirmed a notice by then is bypassed. Shorter
 * than the link's ping timeout of 1.5 s, so that three unresponsive
 * daemons in a row still leave the bound of 2 s for leaving daemons.
 */
const BYPASS_MS = 600;
const WINDOW_MS = 50;
/** Notices that are remembered to suppress duplicates. */
const MAX_REMEMBERED = 20_000;
const RANDOM_BOUND = 2 ** 31;

interface QueuedNotice extends IdentifiedNotice {
  /** Daemon from which the notice came. */
  readonly fromId: string;
}

/** Broadcasts notices along the tree and forwards each one once. */
export class TreeNoticeBroadcaster
  implements NoticeBroadcaster, NoticeSubscription
{
  readonly #options: TreeNoticeBroadcasterOptions;
  readonly #tree: TreeBroadcaster;
  readonly #listeners = new Set<NoticeListener>();
  readonly #seen = new Set<string>();
  readonly #idPrefix: string;
  readonly #queue: QueuedNotice[] = [];
  #timer?: Timer;
  #counter = 0;

  constructor(options: TreeNoticeBroadcasterOptions) {
    this.#options = options;
    this.#tree = new TreeBroadcaster(options);
    // Distinguishes the notices of this process from those before a restart.
    this.#idPrefix = options.random.nextInt(RANDOM_BOUND).toString(36);
  }

  subscribe(listener: NoticeListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Sends a notice to the data centre; the own listeners do not get it. */
  broadcast(notice: Notice): void {
    const noticeId = this.#idOf(notice);
    if (this.#remember(noticeId)) {
      this.#enqueue({noticeId, notice}, this.#options.vmId);
    }
  }

  /** Handles notices of a peer. */
  async handleNotify(request: NotifyRequest): Promise<void> {
    const unseen = request.notices.filter(({noticeId}) =>
      this.#remember(noticeId),
    );
    for (const identified of unseen) {
      this.#listeners.forEach(listener => listener(identified.notice));
      this.#enqueue(identified, request.senderId);
    }
  }

  /** Sends what waits at once. */
  close(): void {
    this.#timer?.cancel();
    this.#flush();
  }

  /** Several daemons may report the same change; it spreads once. */
  #idOf(notice: Notice): string {
    if (notice.kind === 'member') {
      const {vmId, incarnation, state} = notice.record;
      return `${vmId}/${incarnation}/${state}`;
    }
    return `${this.#options.vmId}/${this.#idPrefix}/${this.#counter++}`;
  }

  #remember(noticeId: string): boolean {
    if (this.#seen.has(noticeId)) {
      return false;
    }
    this.#seen.add(noticeId);
    if (this.#seen.size > MAX_REMEMBERED) {
      const [oldest] = this.#seen;
      this.#seen.delete(oldest!);
    }
    return true;
  }

  /**
   * The first notice leaves at once; those of the next window leave together,
   * so that the number of messages stays bounded when many daemons start.
   */
  #enqueue(identified: IdentifiedNotice, fromId: string): void {
    this.#queue.push({...identified, fromId});
    if (!this.#timer) {
      this.#flush();
      this.#startWindow();
    }
  }

  #startWindow(): void {
    this.#timer = this.#options.clock.setTimer(WINDOW_MS, () => {
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
      .filter(({fromId}) => fromId !== peer.vmId)
      .map(({noticeId, notice}) => ({noticeId, notice}));
    if (notices.length > 0) {
      await this.#send(peer, {senderId: this.#options.vmId, notices});
    }
  }

  /** Rejects when the peer does not confirm, so that it is bypassed. */
  async #send(peer: MemberView, request: NotifyRequest): Promise<void> {
    const {link, clock, logger} = this.#options;
    let expire!: () => void;
    const expired = new Promise<never>((_, reject) => {
      expire = () => reject(new Error('the notice is not confirmed in time'));
    });
    const timer = clock.setTimer(BYPASS_MS, expire);
    try {
      await Promise.race([link.notify(peer, request), expired]);
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
