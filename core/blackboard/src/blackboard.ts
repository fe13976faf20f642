type Listener<Value> = (value: Value, previous: Value) => void;

/**
 * Typed state that the controllers of a process share. They read, write and
 * observe its named values instead of calling each other.
 */
export class Blackboard<State extends object> {
  readonly #values: State;
  readonly #listeners = new Map<keyof State, Set<Listener<never>>>();

  constructor(initialState: State) {
    this.#values = {...initialState};
  }

  read<Name extends keyof State>(name: Name): State[Name] {
    return this.#values[name];
  }

  /**
   * Replaces a value. If it changed, calls its observers in the order of their
   * registration.
   */
  write<Name extends keyof State>(name: Name, value: State[Name]): void {
    const previous = this.#values[name];
    if (Object.is(previous, value)) {
      return;
    }
    this.#values[name] = value;
    for (const listener of this.#listeners.get(name) ?? []) {
      (listener as Listener<State[Name]>)(value, previous);
    }
  }

  /** Registers an observer of a value; the returned function removes it. */
  observe<Name extends keyof State>(
    name: Name,
    listener: Listener<State[Name]>,
  ): () => void {
    const listeners = this.#listeners.get(name) ?? new Set();
    this.#listeners.set(name, listeners);
    listeners.add(listener as Listener<never>);
    return () => listeners.delete(listener as Listener<never>);
  }
}
