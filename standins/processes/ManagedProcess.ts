import * as childProcess from 'node:child_process';
import * as readline from 'node:readline';

/** A process of a test, a demo or a benchmark. */
export class ManagedProcess {
  private readonly child: childProcess.ChildProcess;
  private readonly lines: object[] = [];
  private readonly errorLines: string[] = [];
  private readonly exited: Promise<number>;
  private readonly firstLine: Promise<object>;

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
    if (stdout === null || stderr === null) throw new Error('no pipes');
    this.exited = new Promise(resolve =>
      this.child.once('close', code => resolve(code ?? -1)),
    );
    readline
      .createInterface({input: stderr})
      .on('line', line => this.errorLines.push(line));
    const output = readline.createInterface({input: stdout});
    this.firstLine = new Promise((resolve, reject) => {
      output.on('line', line => {
        if (isJson(line)) resolve(JSON.parse(line) as object);
      });
      void this.exited.then(() =>
        reject(new Error(`${script} ended: ${this.errorLines.join('\n')}`)),
      );
    });
    this.firstLine.catch(() => {});
    output.on('line', line => {
      if (isJson(line)) this.lines.push(JSON.parse(line) as object);
      else this.errorLines.push(line);
    });
  }

  /** Waits for the first line and gets it. @throws Error when the process ends before. */
  async getFirstLineOrThrow<T>(): Promise<T> {
    return (await this.firstLine) as T;
  }

  /** Gets every line of JSON that the process has printed. */
  getLines(): readonly object[] {
    return this.lines;
  }

  /** Gets what the process has logged. */
  getLog(): string {
    return this.errorLines.join('\n');
  }

  /** Gets the identifier of the process. */
  getPid(): number {
    return this.child.pid ?? 0;
  }

  /** Whether the process still runs. */
  isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Sends a signal. */
  signal(name: NodeJS.Signals): void {
    if (this.isRunning()) this.child.kill(name);
  }

  /** Kills the process and waits for its end. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  /** Waits for the end and gets the exit code; -1 after a signal. */
  async waitForExit(): Promise<number> {
    return await this.exited;
  }
}

/** Whether a line is a value for the test; all others are log lines. */
function isJson(line: string): boolean {
  return line.startsWith('{');
}
