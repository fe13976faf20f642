import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {Logger} from '@carobseam/core.logger';
import type {DaemonSettings} from '@carobseam/core.settings';
import type {Controller} from '@carobseam/core.types';
import type {DatagramAuthenticator} from '@carobseam/fleet.datagram';
import type {FleetAuthenticator, LinkClient} from '@carobseam/fleet.link';
import type {MembershipController} from '@carobseam/fleet.membership';
import type {AtMostOnceComponents} from '@carobseam/calls.at_most_once';
import type {ReplicatedCrashMarkStore} from '@carobseam/calls.crash_marks';
import type {TreeNoticeBroadcaster} from '@carobseam/fleet.notices';
import type {PlatformReader} from '@carobseam/config.published_reader';
import type {Container} from 'inversify';
import {createContainer} from './create_container.js';
import {reloadFleetKeys} from './reload_fleet_keys.js';
import {tokens} from './tokens.js';

/** Controllers in the order of their start; they close in reverse. */
const START_ORDER = [
  tokens.adminServer,
  tokens.linkServer,
  tokens.transport,
  tokens.pauseDetector,
  tokens.membership,
  tokens.dissemination,
  tokens.dataCentreExchange,
  tokens.readerController,
  tokens.startupController,
  tokens.callServer,
] as const;

/** One daemon: its parts, its start and its graceful shutdown. */
export class Daemon implements Controller {
  readonly #container: Container;
  readonly #started: Controller[] = [];
  readonly #stopped: Promise<void>;
  #resolveStopped!: () => void;
  #stopping = false;

  constructor(settings: DaemonSettings) {
    this.#stopped = new Promise(resolve => (this.#resolveStopped = resolve));
    this.#container = createContainer({
      settings,
      requestStop: () => void this.close(),
    });
  }

  async start(): Promise<void> {
    const blackboard = this.#blackboard();
    // Has to see every member record from the first on.
    this.#container.get<AtMostOnceComponents>(tokens.atMostOnce);
    blackboard.observe('snapshot', () => this.#serve(blackboard));
    for (const token of START_ORDER) {
      const controller = this.#container.get<Controller>(token);
      this.#started.push(controller);
      await controller.start();
    }
    this.#logger().info('daemon_started');
  }

  /** Announces the stop, finishes calls in flight and releases everything. */
  async close(): Promise<void> {
    if (this.#stopping) {
      return this.#stopped;
    }
    this.#stopping = true;
    this.#blackboard().write('lifecycle', 'leaving');
    this.#logger().info('daemon_stopping');
    await this.#announceLeaving();
    for (const controller of this.#started.reverse()) {
      await controller.close();
    }
    this.#container.get<AtMostOnceComponents>(tokens.atMostOnce).close();
    this.#container.get<ReplicatedCrashMarkStore>(tokens.crashMarks).close();
    this.#container.get<TreeNoticeBroadcaster>(tokens.notices).close();
    this.#container.get<LinkClient>(tokens.linkClient).close();
    await this.#container.get<PlatformReader>(tokens.platformReader).close();
    this.#logger().info('daemon_stopped');
    this.#resolveStopped();
  }

  /** Replaces the fleet keys with those of newly read settings. */
  reloadKeys(load: () => DaemonSettings): void {
    reloadFleetKeys({
      holders: [
        this.#container.get<FleetAuthenticator>(tokens.authenticator),
        this.#container.get<DatagramAuthenticator>(tokens.sealer),
      ],
      logger: this.#logger(),
      load,
    });
  }

  async #announceLeaving(): Promise<void> {
    const membership = this.#container.get<MembershipController>(
      tokens.membership,
    );
    if (this.#started.includes(membership)) {
      await membership.announceLeaving();
    }
  }

  #serve(blackboard: DaemonBlackboard): void {
    if (blackboard.read('lifecycle') === 'starting') {
      blackboard.write('lifecycle', 'serving');
    }
  }

  #blackboard(): DaemonBlackboard {
    return this.#container.get<DaemonBlackboard>(tokens.blackboard);
  }

  #logger(): Logger {
    return this.#container.get<Logger>(tokens.logger);
  }
}
