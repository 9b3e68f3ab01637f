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

/** An operator's connection to one member; each call blocks until its response. */
public final class OperatorClient implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 2_000;

  /** Added to a call's patience, which the member itself observes, as the timeout of the socket. */
  private static final int GRACE_MS = 2_000;

  private final Socket socket = new Socket();
  private final DataInputStream in;
  private final DataOutputStream out;
  private final String member;
  private long lastNumber;

  /**
   * Connects to a member and exchanges greetings.
   *
   * @param fleet the fleet that the member has to belong to
   * @throws IOException if there is no response, or the member belongs to another fleet
   */
  public OperatorClient(InetSocketAddress address, String fleet) throws IOException {
    try {
      socket.connect(address, CONNECT_TIMEOUT_MS);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(CONNECT_TIMEOUT_MS);
      in = new DataInputStream(socket.getInputStream());
      out = new DataOutputStream(socket.getOutputStream());
      write(new Greeting(fleet, "").bytes());
      Greeting greeting = Greeting.read(read());
      if (!greeting.fleet().equals(fleet)) {
        throw new IOException("connected to " + greeting.member() + " of " + greeting.fleet());
      }
      member = greeting.member();
    } catch (IOException e) {
      socket.close();
      throw e;
    } catch (MalformedException e) {
      socket.close();
      throw new IOException("the peer is not a member: " + e.getMessage(), e);
    }
  }

  /** The name of the member. */
  public String member() {
    return member;
  }

  /** The member's status and its copy of the record, which may be out of date; responds at once. */
  public Fields status() throws IOException {
    return send(call("status"), CONNECT_TIMEOUT_MS);
  }

  /** The same with a linearizable read: the record is no older than this call. */
  public Fields read(int patienceMs) throws IOException {
    return send(call("read"), patienceMs);
  }

  /** Submits a command; it is applied at most once for each number of an origin. */
  public CommandResult command(Command.Numbered command, int patienceMs) throws IOException {
    Map<String, Object> call = call("command");
    call.put("command", command.bytes());
    return submit(call, patienceMs);
  }

  /** Adds or removes a voter. */
  public CommandResult voter(boolean add, String name, int patienceMs) throws IOException {
    Map<String, Object> call = call("voter");
    call.put("add", add);
    call.put("member", name);
    return submit(call, patienceMs);
  }

  private CommandResult submit(Map<String, Object> call, int patienceMs) throws IOException {
    try {
      return CommandResult.read(send(call, patienceMs).fields("answer"));
    } catch (MalformedException e) {
      throw new IOException("malformed response: " + e.getMessage(), e);
    }
  }

  private static Map<String, Object> call(String kind) {
    Map<String, Object> call = new LinkedHashMap<>();
    call.put("ask", kind);
    return call;
  }

  private Fields send(Map<String, Object> call, int patienceMs) throws IOException {
    long number = ++lastNumber;
    call.put("number", number);
    call.put("patience_ms", patienceMs);
    socket.setSoTimeout(patienceMs + GRACE_MS);
    write(Cbor.write(call));
    try {
      Fields response = Cbor.read(read());
      while (response.number("number") != number) {
        response = Cbor.read(read());
      }
      if (!response.bool("ok")) {
        throw new IOException(response.text("why"));
      }
      return response;
    } catch (MalformedException e) {
      throw new IOException("malformed response: " + e.getMessage(), e);
    }
  }

  private void write(byte[] frame) throws IOException {
    out.writeInt(frame.length);
    out.write(frame);
    out.flush();
  }

  private byte[] read() throws IOException {
    int length = in.readInt();
    if (length < 0 || length > FrameHandler.MAX_BYTES) {
      throw new IOException("invalid frame length");
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
