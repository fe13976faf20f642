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

/** Controllers in their start order. They are closed in reverse order. */
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

/**
 * A daemon runs on each VM, receives configuration versions and proxies calls to
 * workers. This class starts its controllers and shuts them down gracefully.
 */
export class Daemon implements Controller {
  readonly #container: Container;
  readonly #startedControllers: Controller[] = [];
  readonly #closed: Promise<void>;
  #resolveClosed!: () => void;
  #isClosing = false;

  constructor(settings: DaemonSettings) {
    this.#closed = new Promise(resolve => (this.#resolveClosed = resolve));
    this.#container = createContainer({
      settings,
      requestStop: () => void this.close(),
    });
  }

  async start(): Promise<void> {
    const blackboard = this.#blackboard();
    // Created before the controllers, because it must observe every member record.
    this.#container.get<AtMostOnceComponents>(tokens.atMostOnce);
    blackboard.observe('snapshot', () => this.#enterServing(blackboard));
    for (const token of START_ORDER) {
      const controller = this.#container.get<Controller>(token);
      this.#startedControllers.push(controller);
      await controller.start();
    }
    this.#logger().info('daemon_started');
  }

  /**
   * Announces the shutdown to peers, completes the calls in flight and closes all
   * controllers. A second call waits for the first.
   */
  async close(): Promise<void> {
    if (this.#isClosing) {
      return this.#closed;
    }
    this.#isClosing = true;
    this.#blackboard().write('lifecycle', 'leaving');
    this.#logger().info('daemon_stopping');
    await this.#announceLeaving();
    for (const controller of this.#startedControllers.reverse()) {
      await controller.close();
    }
    this.#container.get<AtMostOnceComponents>(tokens.atMostOnce).close();
    this.#container
      .get<ReplicatedCrashMarkStore>(tokens.crashMarkStore)
      .close();
    this.#container
      .get<TreeNoticeBroadcaster>(tokens.noticeBroadcaster)
      .close();
    this.#container.get<LinkClient>(tokens.linkClient).close();
    await this.#container.get<PlatformReader>(tokens.platformReader).close();
    this.#logger().info('daemon_stopped');
    this.#resolveClosed();
  }

  /** Replaces the fleet keys with those of the reloaded settings. */
  reloadKeys(load: () => DaemonSettings): void {
    reloadFleetKeys({
      holders: [
        this.#container.get<FleetAuthenticator>(tokens.fleetAuthenticator),
        this.#container.get<DatagramAuthenticator>(
          tokens.datagramAuthenticator,
        ),
      ],
      logger: this.#logger(),
      load,
    });
  }

  async #announceLeaving(): Promise<void> {
    const membership = this.#container.get<MembershipController>(
      tokens.membership,
    );
    if (this.#startedControllers.includes(membership)) {
      await membership.announceLeaving();
    }
  }

  #enterServing(blackboard: DaemonBlackboard): void {
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
