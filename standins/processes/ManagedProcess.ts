import * as childProcess from 'node:child_process';
import * as readline from 'node:readline';

/** A child process of a test, the demo or a benchmark; it prints values as lines of JSON and logs all other lines. */
export class ManagedProcess {
  private readonly child: childProcess.ChildProcess;
  private readonly lines: object[] = [];
  private readonly logLines: string[] = [];
  private readonly exited: Promise<number>;
  private readonly firstJsonLine: Promise<object>;

  /** @param script The compiled script that the process runs. */
  constructor(
    script: string,
    args: readonly string[],
    env: Readonly<Record<string, string>> = {},
  ) {
    this.child = childProcess.spawn(process.execPath, [script, ...args], {
      env: {...process.env, ...env},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const {stdout, stderr} = this.child;
    if (stdout === null || stderr === null)
      throw new Error('child process has no stdout or stderr pipe');
    this.exited = new Promise(resolve =>
      this.child.once('close', code => resolve(code ?? -1)),
    );
    readline
      .createInterface({input: stderr})
      .on('line', line => this.logLines.push(line));
    const output = readline.createInterface({input: stdout});
    this.firstJsonLine = new Promise((resolve, reject) => {
      output.on('line', line => {
        if (isJsonLine(line)) resolve(JSON.parse(line) as object);
      });
      void this.exited.then(() =>
        reject(
          new Error(
            `${script} exited before it printed a line of JSON: ${this.logLines.join('\n')}`,
          ),
        ),
      );
    });
    this.firstJsonLine.catch(() => {});
    output.on('line', line => {
      if (isJsonLine(line)) this.lines.push(JSON.parse(line) as object);
      else this.logLines.push(line);
    });
  }

  /** Waits for the first line of JSON and gets its value. @throws Error when the process exits first. */
  async waitForFirstLineOrThrow<T>(): Promise<T> {
    return (await this.firstJsonLine) as T;
  }

  /** Gets the values of all lines of JSON that the process has printed so far. */
  getJsonLines(): readonly object[] {
    return this.lines;
  }

  /** Gets the log of the process: stderr, and the lines of stdout that are not JSON. */
  getLog(): string {
    return this.logLines.join('\n');
  }

  /** Gets the process ID; 0 when the process could not be started. */
  getPid(): number {
    return this.child.pid ?? 0;
  }

  /** Whether the process has not exited yet. */
  isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Sends a signal unless the process has exited. */
  signal(name: NodeJS.Signals): void {
    if (this.isRunning()) this.child.kill(name);
  }

  /** Kills the process and waits until it has exited. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  /** Waits until the process has exited and gets its exit code; -1 when a signal ended it. */
  async waitForExit(): Promise<number> {
    return await this.exited;
  }
}

/** Whether a line of stdout is a JSON value; all other lines belong to the log. */
function isJsonLine(line: string): boolean {
  return line.startsWith('{');
}
