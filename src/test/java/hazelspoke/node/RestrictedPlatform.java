package hazelspoke.node;

import java.net.NetPermission;
import java.security.Permission;

/** A platform that refuses sockets in the file system and the start of other programs. */
@SuppressWarnings("removal")
public final class RestrictedPlatform extends SecurityManager {
  private static final NetPermission FILE_SOCKETS = new NetPermission("accessUnixDomainSocket");

  @Override
  public void checkPermission(Permission asked) {
    if (FILE_SOCKETS.equals(asked)) {
      throw new SecurityException("no sockets in the file system here");
    }
  }

  @Override
  public void checkExec(String program) {
    throw new SecurityException("no other programs here");
  }
}
