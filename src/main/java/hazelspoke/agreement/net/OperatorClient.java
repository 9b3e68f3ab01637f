package hazelspoke.agreement.net;

import hazelspoke.agreement.record.Command;
import hazelspoke.agreement.record.CommandResult;
import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** An operator's connection to one member; each call waits for its answer. */
public final class OperatorClient implements AutoCloseable {
  private static final int CONNECT_MS = 2_000;

  /** How much longer than the member's own patience an answer is waited for. */
  private static final int GRACE_MS = 2_000;

  private final Socket socket = new Socket();
  private final DataInputStream in;
  private final DataOutputStream out;
  private final String member;
  private long numbers;

  /**
   * Connects.
   *
   * @param fleet whose member it has to be
   * @throws IOException if nobody answers there, or a member of another fleet
   */
  public OperatorClient(InetSocketAddress at, String fleet) throws IOException {
    try {
      socket.connect(at, CONNECT_MS);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(CONNECT_MS);
      in = new DataInputStream(socket.getInputStream());
      out = new DataOutputStream(socket.getOutputStream());
      write(new Greeting(fleet, "").bytes());
      Greeting said = Greeting.read(read());
      if (!said.fleet().equals(fleet)) {
        throw new IOException("that is " + said.member() + " of " + said.fleet());
      }
      member = said.member();
    } catch (IOException e) {
      socket.close();
      throw e;
    } catch (MalformedException e) {
      socket.close();
      throw new IOException("that is no member: " + e.getMessage(), e);
    }
  }

  /** Who is at the other end. */
  public String member() {
    return member;
  }

  /** What that member knows, however old; at once. */
  public Fields status() throws IOException {
    return ask(call("status"), CONNECT_MS);
  }

  /** What the record says, no older than this call. */
  public Fields read(int patienceMs) throws IOException {
    return ask(call("read"), patienceMs);
  }

  /** Puts a command on the record, once for each number of an origin. */
  public CommandResult command(Command.Numbered command, int patienceMs) throws IOException {
    Map<String, Object> call = call("command");
    call.put("command", command.bytes());
    return answer(call, patienceMs);
  }

  /** Makes a member a voter, or ends its vote. */
  public CommandResult voter(boolean add, String name, int patienceMs) throws IOException {
    Map<String, Object> call = call("voter");
    call.put("add", add);
    call.put("member", name);
    return answer(call, patienceMs);
  }

  private CommandResult answer(Map<String, Object> call, int patienceMs) throws IOException {
    try {
      return CommandResult.read(ask(call, patienceMs).fields("answer"));
    } catch (MalformedException e) {
      throw new IOException("unreadable answer: " + e.getMessage(), e);
    }
  }

  private static Map<String, Object> call(String what) {
    Map<String, Object> call = new LinkedHashMap<>();
    call.put("ask", what);
    return call;
  }

  private Fields ask(Map<String, Object> call, int patienceMs) throws IOException {
    long number = ++numbers;
    call.put("number", number);
    call.put("patience_ms", patienceMs);
    socket.setSoTimeout(patienceMs + GRACE_MS);
    write(Cbor.write(call));
    try {
      Fields answer = Cbor.read(read());
      while (answer.number("number") != number) {
        answer = Cbor.read(read());
      }
      if (!answer.bool("ok")) {
        throw new IOException(answer.text("why"));
      }
      return answer;
    } catch (MalformedException e) {
      throw new IOException("unreadable answer: " + e.getMessage(), e);
    }
  }

  private void write(byte[] frame) throws IOException {
    out.writeInt(frame.length);
    out.write(frame);
    out.flush();
  }

  private byte[] read() throws IOException {
    int length = in.readInt();
    if (length < 0 || length > FrameHandler.LONGEST_BYTES) {
      throw new IOException("no frame");
    }
    byte[] frame = new byte[length];
    in.readFully(frame);
    return frame;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
